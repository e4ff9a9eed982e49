#include "settings/setting_key.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// The field of a member of one section, as a function that SettingKey can hold.
template <auto section, auto member>
SettingField fieldOf(Settings& settings)
{
    return &(settings.*section.*member);
}

SettingField platformAddress(Settings& settings)
{
    return &settings.platform.endpoint.address;
}

SettingField platformPort(Settings& settings)
{
    return &settings.platform.endpoint.port;
}

SettingField gatewayAddress(Settings& settings)
{
    return &settings.listen.crossZoneGateway.address;
}

SettingField gatewayPort(Settings& settings)
{
    return &settings.listen.crossZoneGateway.port;
}

void addInstance(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::instance;
    keys.insert(keys.end(), {
                                { "instance", "name", fieldOf<section, &InstanceSettings::name>, {}, "Name of this instance, unique over both regions.", true },
                                { "instance", "zone", fieldOf<section, &InstanceSettings::zone>, {}, "Availability zone that it runs in.", true },
                                { "instance", "threads", fieldOf<section, &InstanceSettings::threads>, { "1", "256" }, "Threads that serve requests." },
                                { "instance", "routing", fieldOf<section, &InstanceSettings::routing>, {}, "How legs reach backend servers." },
                                { "instance", "log_format", fieldOf<section, &InstanceSettings::logFormat>, {}, "Format of log lines." },
                            });
}

void addListen(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::listen;
    keys.insert(keys.end(), {
                                { "listen", "address", fieldOf<section, &ListenSettings::address>, {}, "IP number to listen on." },
                                { "listen", "advertised_address", fieldOf<section, &ListenSettings::advertisedAddress>, {}, "IP number told to peers and the platform; empty: the one listened on." },
                                { "listen", "http_port", fieldOf<section, &ListenSettings::httpPort>, { "0", "65535" }, "Port for callers and operators; 0: the kernel chooses." },
                                { "listen", "inner_port", fieldOf<section, &ListenSettings::innerPort>, { "0", "65535" }, "Port for peers; 0: the kernel chooses." },
                                { "listen", "cross_zone_gateway_address", gatewayAddress, {}, "IP number of the HTTP CONNECT gateway to peers in other zones." },
                                { "listen", "cross_zone_gateway_port", gatewayPort, { "0", "65535" }, "Port of that gateway; 0: peers are dialled directly." },
                            });
}

void addPlatform(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::platform;
    keys.insert(keys.end(), {
                                { "platform", "address", platformAddress, {}, "IP number of the platform's service." },
                                { "platform", "port", platformPort, { "1", "65535" }, "Port of the platform's service.", true },
                                { "platform", "request_timeout", fieldOf<section, &PlatformSettings::requestTimeout>, { "10ms", "60s" }, "Wait for the answer to one call." },
                                { "platform", "watch_timeout", fieldOf<section, &PlatformSettings::watchTimeout>, { "100ms", "10m" }, "Length of one watch." },
                                { "platform", "calls_per_second", fieldOf<section, &PlatformSettings::callsPerSecond>, { "1", "10000" }, "Budget of calls; a waiting watch counts as one." },
                                { "platform", "backoff_minimum", fieldOf<section, &PlatformSettings::backoffMinimum>, { "1ms", "60s" }, "Wait before the first retry; doubled, with jitter, for each further one." },
                                { "platform", "backoff_maximum", fieldOf<section, &PlatformSettings::backoffMaximum>, { "1ms", "10m" }, "Longest wait between two retries." },
                                { "platform", "list_period", fieldOf<section, &PlatformSettings::listPeriod>, { "100ms", "10m" }, "Between two reads of the instance list." },
                            });
}

void addDrain(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::drain;
    keys.insert(keys.end(), {
                                { "drain", "balancer_lag", fieldOf<section, &DrainSettings::balancerLag>, { "0s", "10m" }, "A leaving instance still takes requests for this long." },
                                { "drain", "limit", fieldOf<section, &DrainSettings::limit>, { "0s", "1h" }, "What is in flight after this long is ended, and named in the log." },
                            });
}

void addHttp(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::http;
    keys.insert(keys.end(), {
                                { "http", "max_header", fieldOf<section, &HttpSettings::maxHeader>, { "1KiB", "1MiB" }, "Largest request header." },
                                { "http", "max_body", fieldOf<section, &HttpSettings::maxBody>, { "1KiB", "16MiB" }, "Largest request body." },
                                { "http", "max_legs", fieldOf<section, &HttpSettings::maxLegs>, { "1", "65536" }, "Legs of one request at most." },
                                { "http", "max_frame", fieldOf<section, &HttpSettings::maxFrame>, { "64KiB", "16MiB" }, "Largest frame of the inner protocol." },
                                { "http", "max_connections", fieldOf<section, &HttpSettings::maxConnections>, { "1", "100000" }, "Connections from callers at most." },
                                { "http", "header_timeout", fieldOf<section, &HttpSettings::headerTimeout>, { "100ms", "10m" }, "For a whole header, from its first byte." },
                                { "http", "body_timeout", fieldOf<section, &HttpSettings::bodyTimeout>, { "100ms", "10m" }, "For a whole body." },
                                { "http", "idle_timeout", fieldOf<section, &HttpSettings::idleTimeout>, { "100ms", "1h" }, "Between two requests of one connection." },
                            });
}

void addQuery(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::query;
    keys.insert(keys.end(), {
                                { "query", "hedge", fieldOf<section, &QuerySettings::hedge>, {}, "Sends a slow leg to a second replica." },
                                { "query", "choose_by_load", fieldOf<section, &QuerySettings::chooseByLoad>, {}, "Chooses replicas by load and latency; off: in turn." },
                                { "query", "retry_refusals", fieldOf<section, &QuerySettings::retryRefusals>, {}, "Retries a refused leg at another replica." },
                                { "query", "admission", fieldOf<section, &QuerySettings::admission>, {}, "Refuses requests that can't be done before their deadline." },
                                { "query", "shedding", fieldOf<section, &QuerySettings::shedding>, {}, "Leaves out legs that a rule can spare, and refuses lower priorities, when servers near overload." },
                                { "query", "canary_before_search", fieldOf<section, &QuerySettings::canaryBeforeSearch>, {}, "Sends one leg of every search ahead of the others; off: only of suspect content." },
                                { "query", "hedge_when_outstanding", fieldOf<section, &QuerySettings::hedgeWhenOutstanding>, { "0%", "100%" }, "Legs are hedged once a query waits for this share of them at most." },
                                { "query", "max_attempts", fieldOf<section, &QuerySettings::maxAttempts>, { "1", "10" }, "Attempts of one leg, hedges included." },
                                { "query", "hedge_quantile", fieldOf<section, &QuerySettings::hedgeQuantile>, { "50%", "99.99%" }, "A leg is late after 1.25 times this quantile of its class." },
                                { "query", "minimum_hedge_delay", fieldOf<section, &QuerySettings::minimumHedgeDelay>, { "0ms", "10s" }, "No hedge before this time." },
                                { "query", "cross_zone_cost", fieldOf<section, &QuerySettings::crossZoneCost>, { "0ms", "1s" }, "What a replica in another zone must be better by." },
                            });
}

void addRelay(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::relay;
    keys.insert(keys.end(), {
                                { "relay", "admission", fieldOf<section, &RelaySettings::admission>, {}, "Refuses work that can't be done before its deadline." },
                                { "relay", "ejection", fieldOf<section, &RelaySettings::ejection>, {}, "Sends no work to a failing server for a time." },
                                { "relay", "slow_start", fieldOf<section, &RelaySettings::slowStart>, {}, "Gives a server that comes back little work at first." },
                                { "relay", "quarantine", fieldOf<section, &RelaySettings::quarantine>, {}, "Refuses content that crashed servers." },
                                { "relay", "reserved_connections", fieldOf<section, &RelaySettings::reservedConnections>, { "0", "1000" }, "Connections of a server's cap left to others." },
                                { "relay", "owner_share_of_cap", fieldOf<section, &RelaySettings::ownerShareOfCap>, { "1%", "50%" }, "Of what is left: connections that one relay holds at most." },
                                { "relay", "max_queue_per_server", fieldOf<section, &RelaySettings::maxQueuePerServer>, { "1", "100000" }, "Legs that wait for one server at most." },
                                { "relay", "slow_start_time", fieldOf<section, &RelaySettings::slowStartTime>, { "0s", "10m" }, "Until a server that came back has its full work." },
                                { "relay", "ejection_time", fieldOf<section, &RelaySettings::ejectionTime>, { "100ms", "10m" }, "Length of one ejection." },
                                { "relay", "quarantine_time", fieldOf<section, &RelaySettings::quarantineTime>, { "1s", "24h" }, "Length of one quarantine." },
                                { "relay", "ejection_floor", fieldOf<section, &RelaySettings::ejectionFloor>, { "0%", "100%" }, "Share of a block's servers that are never ejected together." },
                            });
}

void addClaims(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::claims;
    keys.insert(keys.end(), {
                                { "claims", "partitions", fieldOf<section, &ClaimSettings::partitions>, { "1", "4096" }, "Head objects that keys are spread over; the same on every instance." },
                                { "claims", "batch_window", fieldOf<section, &ClaimSettings::batchWindow>, { "0ms", "1s" }, "Claims that come within it share one write." },
                                { "claims", "key_lifetime", fieldOf<section, &ClaimSettings::keyLifetime>, { "1m", "720h" }, "After this an idempotency key is forgotten." },
                                { "claims", "max_claims_per_head", fieldOf<section, &ClaimSettings::maxClaimsPerHead>, { "1", "10000" }, "A fuller head is sealed into a segment." },
                                { "claims", "max_head", fieldOf<section, &ClaimSettings::maxHead>, { "4KiB", "448KiB" }, "A larger head is sealed, however few claims it holds; a head takes up to twice this in the store." },
                                { "claims", "max_key", fieldOf<section, &ClaimSettings::maxKey>, { "16B", "4KiB" }, "A longer idempotency key is refused." },
                                { "claims", "max_answer", fieldOf<section, &ClaimSettings::maxAnswer>, { "0B", "64KiB" }, "Of a longer answer only whether it ran is recorded." },
                                { "claims", "max_waiting", fieldOf<section, &ClaimSettings::maxWaitingPerPartition>, { "1", "1000000" }, "Claims of one partition that wait for the store at most." },
                                { "claims", "max_unsettled", fieldOf<section, &ClaimSettings::maxUnsettledPerPartition>, { "1", "1000000" }, "With more outcomes and releases of a partition unwritten, claims are refused." },
                                { "claims", "outcome_delay", fieldOf<section, &ClaimSettings::outcomeDelay>, { "0ms", "10s" }, "An outcome waits this long for claims to share a write with." },
                                { "claims", "retry_first", fieldOf<section, &ClaimSettings::retryFirst>, { "1ms", "10s" }, "Pause after a failed call to the store; doubled for each further one." },
                                { "claims", "retry_most", fieldOf<section, &ClaimSettings::retryMost>, { "1ms", "1m" }, "Longest such pause." },
                            });
}

void addMembership(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::membership;
    keys.insert(keys.end(), {
                                { "membership", "probe_period", fieldOf<section, &MembershipSettings::probePeriod>, { "10ms", "60s" }, "Between two probes that this instance sends." },
                                { "membership", "probe_timeout", fieldOf<section, &MembershipSettings::probeTimeout>, { "1ms", "10s" }, "A probe unanswered for this long is tried through others." },
                                { "membership", "indirect_probes", fieldOf<section, &MembershipSettings::indirectProbes>, { "0", "10" }, "Instances that are asked to probe a silent one." },
                                { "membership", "suspicion_time", fieldOf<section, &MembershipSettings::suspicionTime>, { "10ms", "10m" }, "A suspect that does not refute for this long is gone." },
                                { "membership", "gone_memory", fieldOf<section, &MembershipSettings::goneMemory>, { "1s", "24h" }, "How long a gone instance is remembered." },
                                { "membership", "isolation_time", fieldOf<section, &MembershipSettings::isolationTime>, { "100ms", "10m" }, "Without an answer from peers or store for this long: not ready." },
                                { "membership", "max_digests", fieldOf<section, &MembershipSettings::maxDigests>, { "1", "64" }, "Digests in one message at most." },
                                { "membership", "bytes_per_second", fieldOf<section, &MembershipSettings::bytesPerSecond>, { "256B", "16MiB" }, "Budget for everything sent to peers for membership and rules." },
                                { "membership", "watchers_per_zone", fieldOf<section, &MembershipSettings::watchersPerZone>, { "1", "100" }, "Instances of a zone that watch the rules in the store." },
                            });
}

void addGateway(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::gateway;
    keys.insert(keys.end(), {
                                { "gateway", "callers", fieldOf<section, &GatewaySettings::callers>, {}, "Where a gateway listens for callers." },
                                { "gateway", "store", fieldOf<section, &GatewaySettings::store>, {}, "The platform's store; for a gateway in place of [platform] address and port." },
                                { "gateway", "readiness", fieldOf<section, &GatewaySettings::readiness>, {}, "Where the balancer asks whether a gateway is ready." },
                                { "gateway", "metrics_port", fieldOf<section, &GatewaySettings::metricsPort>, { "0", "65535" }, "Port of a gateway's metrics, on the callers' address; 0: none." },
                                { "gateway", "log_lines_per_second", fieldOf<section, &GatewaySettings::logLinesPerSecond>, { "1", "100000" }, "Lines about single requests at most." },
                                { "gateway", "cores", fieldOf<section, &GatewaySettings::cores>, { "1%", "100%" }, "Part of a core that a gateway may use." },
                                { "gateway", "configuration_limit", fieldOf<section, &GatewaySettings::configurationLimit>, { "500ms", "1h" }, "A new configuration is in force by then." },
                                { "gateway", "servers_limit", fieldOf<section, &GatewaySettings::serversLimit>, { "500ms", "1h" }, "A server that drains gets no new work by then." },
                                { "gateway", "stop_limit", fieldOf<section, &GatewaySettings::stopLimit>, { "1s", "1h" }, "After SIGTERM a gateway is gone by then." },
                            });
}

void addForward(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::forward;
    keys.insert(keys.end(), {
                                { "forward", "retry_ratio", fieldOf<section, &ForwardSettings::retryRatio>, { "0%", "100%" }, "Share of first sends to a service that the fleet may send again." },
                                { "forward", "retry_slack", fieldOf<section, &ForwardSettings::retrySlack>, { "0", "1000000" }, "Sends again in a window besides, of the whole fleet." },
                                { "forward", "retry_window", fieldOf<section, &ForwardSettings::retryWindow>, { "1s", "10m" }, "Length of that window." },
                                { "forward", "answer_margin", fieldOf<section, &ForwardSettings::answerMargin>, { "0ms", "10s" }, "A search is answered so long before its target latency." },
                                { "forward", "least_hedge_delay", fieldOf<section, &ForwardSettings::minHedgeDelay>, { "0%", "100%" }, "No second send before this part of the target latency." },
                                { "forward", "most_hedge_delay", fieldOf<section, &ForwardSettings::maxHedgeDelay>, { "0%", "100%" }, "Second send at this part of the target latency at the latest." },
                                { "forward", "cross_zone_cost", fieldOf<section, &ForwardSettings::crossZoneCost>, { "0ms", "1s" }, "What a server in another zone must be better by." },
                            });
}

void addRest(std::vector<SettingKey>& keys)
{
    keys.insert(keys.end(), {
                                { "observe", "traces_kept", fieldOf<&Settings::observe, &ObserveSettings::tracesKept>, { "0", "1000000" }, "Traces of recent requests kept in memory." },
                                { "fault", "peer_message_loss", fieldOf<&Settings::fault, &FaultSettings::peerMessageLoss>, { "0%", "100%" }, "For tests: share of membership and rule messages dropped instead of sent." },
                            });
}

std::vector<SettingKey> buildKeys()
{
    std::vector<SettingKey> keys;
    addInstance(keys);
    addListen(keys);
    addPlatform(keys);
    addDrain(keys);
    addHttp(keys);
    addQuery(keys);
    addRelay(keys);
    addClaims(keys);
    addMembership(keys);
    addGateway(keys);
    addForward(keys);
    addRest(keys);
    return keys;
}

}

const std::vector<SettingKey>& settingKeys()
{
    static const auto keys = buildKeys();
    return keys;
}

const SettingKey* findSettingKey(std::string_view section, std::string_view key)
{
    const auto& keys = settingKeys();
    const auto it = std::find_if(keys.begin(), keys.end(), [&](const auto& candidate) { return candidate.section == section && candidate.key == key; });
    return it == keys.end() ? nullptr : &*it;
}

}
