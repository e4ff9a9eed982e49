#include "settings/setting_key.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Returns the field of a section's member; instances of this template are stored in SettingKey::field.
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
                                { "instance", "name", fieldOf<section, &InstanceSettings::name>, {}, "Name of this instance, unique across both regions.", true },
                                { "instance", "zone", fieldOf<section, &InstanceSettings::zone>, {}, "Availability zone of this instance.", true },
                                { "instance", "threads", fieldOf<section, &InstanceSettings::threads>, { "1", "256" }, "Threads that serve requests." },
                                { "instance", "routing", fieldOf<section, &InstanceSettings::routing>, {}, "Path of legs to backend servers: through relay instances or direct." },
                                { "instance", "log_format", fieldOf<section, &InstanceSettings::logFormat>, {}, "Format of log lines." },
                                { "instance", "max_buffered", fieldOf<section, &InstanceSettings::maxBuffered>, { "1MiB", "65536MiB" }, "Most bytes of responses and frames that all connections together buffer; beyond it large ones are given up." },
                            });
}

void addListen(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::listen;
    keys.insert(keys.end(), {
                                { "listen", "address", fieldOf<section, &ListenSettings::address>, {}, "IP address to listen on." },
                                { "listen", "advertised_address", fieldOf<section, &ListenSettings::advertisedAddress>, {}, "IP address announced to peers and the platform; empty: the listen address." },
                                { "listen", "http_port", fieldOf<section, &ListenSettings::httpPort>, { "0", "65535" }, "Port for callers and operators; 0: chosen by the kernel." },
                                { "listen", "inner_port", fieldOf<section, &ListenSettings::innerPort>, { "0", "65535" }, "Port for peers; 0: chosen by the kernel." },
                                { "listen", "cross_zone_gateway_address", gatewayAddress, {}, "IP address of the HTTP CONNECT gateway to peers in other zones." },
                                { "listen", "cross_zone_gateway_port", gatewayPort, { "0", "65535" }, "Port of that gateway; 0: direct connections to peers." },
                            });
}

void addPlatform(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::platform;
    keys.insert(keys.end(), {
                                { "platform", "address", platformAddress, {}, "IP address of the platform's service." },
                                { "platform", "port", platformPort, { "1", "65535" }, "Port of the platform's service.", true },
                                { "platform", "request_timeout", fieldOf<section, &PlatformSettings::requestTimeout>, { "10ms", "60s" }, "Time-out of one call." },
                                { "platform", "watch_timeout", fieldOf<section, &PlatformSettings::watchTimeout>, { "100ms", "10m" }, "Longest wait of one watch." },
                                { "platform", "calls_per_second", fieldOf<section, &PlatformSettings::callsPerSecond>, { "1", "10000" }, "Budget of calls per second; a waiting watch counts as one call." },
                                { "platform", "backoff_minimum", fieldOf<section, &PlatformSettings::backoffMinimum>, { "1ms", "60s" }, "Back-off before the first retry; doubled, with jitter, for each further retry." },
                                { "platform", "backoff_maximum", fieldOf<section, &PlatformSettings::backoffMaximum>, { "1ms", "10m" }, "Longest back-off between two retries." },
                                { "platform", "list_period", fieldOf<section, &PlatformSettings::listPeriod>, { "100ms", "10m" }, "Time between two fetches of the instance list." },
                            });
}

void addDrain(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::drain;
    keys.insert(keys.end(), {
                                { "drain", "balancer_lag", fieldOf<section, &DrainSettings::balancerLag>, { "0s", "10m" }, "Time for which a leaving instance still takes requests." },
                                { "drain", "limit", fieldOf<section, &DrainSettings::limit>, { "0s", "1h" }, "Time after which requests still in flight are ended and logged." },
                            });
}

void addHttp(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::http;
    keys.insert(keys.end(), {
                                { "http", "max_header", fieldOf<section, &HttpSettings::maxHeader>, { "1KiB", "1MiB" }, "Largest request header." },
                                { "http", "max_body", fieldOf<section, &HttpSettings::maxBody>, { "1KiB", "16MiB" }, "Largest request body." },
                                { "http", "max_legs", fieldOf<section, &HttpSettings::maxLegs>, { "1", "65536" }, "Most legs of one request." },
                                { "http", "max_frame", fieldOf<section, &HttpSettings::maxFrame>, { "64KiB", "16MiB" }, "Largest frame of the inner protocol." },
                                { "http", "max_connections", fieldOf<section, &HttpSettings::maxConnections>, { "1", "100000" }, "Most connections from callers." },
                                { "http", "header_timeout", fieldOf<section, &HttpSettings::headerTimeout>, { "100ms", "10m" }, "Time-out for a whole header, from its first byte." },
                                { "http", "body_timeout", fieldOf<section, &HttpSettings::bodyTimeout>, { "100ms", "10m" }, "Time-out for a whole body." },
                                { "http", "idle_timeout", fieldOf<section, &HttpSettings::idleTimeout>, { "100ms", "1h" }, "Longest idle time between two requests of one connection." },
                            });
}

void addQuery(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::query;
    keys.insert(keys.end(), {
                                { "query", "hedge", fieldOf<section, &QuerySettings::hedge>, {}, "Hedges a slow leg with an attempt at a second replica." },
                                { "query", "choose_by_load", fieldOf<section, &QuerySettings::chooseByLoad>, {}, "Chooses replicas by load and latency; off: round robin." },
                                { "query", "retry_refusals", fieldOf<section, &QuerySettings::retryRefusals>, {}, "Retries a refused leg at another replica." },
                                { "query", "admission", fieldOf<section, &QuerySettings::admission>, {}, "Refuses requests that can't complete before their deadline." },
                                { "query", "shedding", fieldOf<section, &QuerySettings::shedding>, {}, "Load shedding near overload: drops legs that a rule allows to be missing, and refuses lower priorities." },
                                { "query", "canary_before_search", fieldOf<section, &QuerySettings::canaryBeforeSearch>, {}, "Sends one leg of every search ahead of the others; off: only for suspect content." },
                                { "query", "hedge_when_outstanding", fieldOf<section, &QuerySettings::hedgeWhenOutstanding>, { "0%", "100%" }, "A query hedges once at most this share of its legs is outstanding." },
                                { "query", "max_attempts", fieldOf<section, &QuerySettings::maxAttempts>, { "1", "10" }, "Most attempts of one leg, including hedges." },
                                { "query", "hedge_quantile", fieldOf<section, &QuerySettings::hedgeQuantile>, { "50%", "99.99%" }, "A leg is late after 1.25 times this latency quantile of its class." },
                                { "query", "minimum_hedge_delay", fieldOf<section, &QuerySettings::minHedgeDelay>, { "0ms", "10s" }, "Shortest time before a hedge." },
                                { "query", "cross_zone_cost", fieldOf<section, &QuerySettings::crossZoneCost>, { "0ms", "1s" }, "Time by which a replica in another zone must be better to be chosen." },
                            });
}

void addRelay(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::relay;
    keys.insert(keys.end(), {
                                { "relay", "admission", fieldOf<section, &RelaySettings::admission>, {}, "Refuses legs that can't complete before their deadline." },
                                { "relay", "ejection", fieldOf<section, &RelaySettings::ejection>, {}, "Ejects a failing server: sends no work to it for some time." },
                                { "relay", "slow_start", fieldOf<section, &RelaySettings::slowStart>, {}, "Gives a returning server little work at first." },
                                { "relay", "quarantine", fieldOf<section, &RelaySettings::quarantine>, {}, "Refuses content that crashed servers." },
                                { "relay", "reserved_connections", fieldOf<section, &RelaySettings::reservedConnections>, { "0", "1000" }, "Connections of a server's cap reserved for other users of the server." },
                                { "relay", "owner_share_of_cap", fieldOf<section, &RelaySettings::ownerShareOfCap>, { "1%", "50%" }, "Share of the remaining connections that one relay may hold." },
                                { "relay", "max_queue_per_server", fieldOf<section, &RelaySettings::maxQueuePerServer>, { "1", "100000" }, "Most legs queued for one server." },
                                { "relay", "slow_start_time", fieldOf<section, &RelaySettings::slowStartTime>, { "0s", "10m" }, "Time until a returning server gets its full share of work." },
                                { "relay", "ejection_time", fieldOf<section, &RelaySettings::ejectionTime>, { "100ms", "10m" }, "Duration of one ejection." },
                                { "relay", "quarantine_time", fieldOf<section, &RelaySettings::quarantineTime>, { "1s", "24h" }, "Duration of one quarantine." },
                                { "relay", "ejection_floor", fieldOf<section, &RelaySettings::ejectionFloor>, { "0%", "100%" }, "Share of a block's servers that always stays in use despite ejections." },
                            });
}

void addClaims(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::claims;
    keys.insert(keys.end(), {
                                { "claims", "partitions", fieldOf<section, &ClaimSettings::partitions>, { "1", "4096" }, "Number of head objects that keys are spread over; must be equal on every instance." },
                                { "claims", "batch_window", fieldOf<section, &ClaimSettings::batchWindow>, { "0ms", "1s" }, "Time within which claims are batched into one write." },
                                { "claims", "key_lifetime", fieldOf<section, &ClaimSettings::keyLifetime>, { "1m", "720h" }, "Time after which an idempotency key is forgotten." },
                                { "claims", "max_claims_per_head", fieldOf<section, &ClaimSettings::maxClaimsPerHead>, { "1", "10000" }, "Number of claims at which a head is sealed into a segment." },
                                { "claims", "max_head", fieldOf<section, &ClaimSettings::maxHead>, { "4KiB", "448KiB" }, "Size at which a head is sealed, however few claims it holds; a head takes up to twice this size in the store." },
                                { "claims", "max_key", fieldOf<section, &ClaimSettings::maxKey>, { "16B", "4KiB" }, "Longest idempotency key; longer keys are refused." },
                                { "claims", "max_answer", fieldOf<section, &ClaimSettings::maxAnswer>, { "0B", "64KiB" }, "Longest recorded answer; for a longer answer only whether the order ran is recorded." },
                                { "claims", "max_waiting", fieldOf<section, &ClaimSettings::maxWaitingPerPartition>, { "1", "1000000" }, "Most claims of one partition that wait for the store." },
                                { "claims", "max_unsettled", fieldOf<section, &ClaimSettings::maxUnsettledPerPartition>, { "1", "1000000" }, "Unwritten outcomes and releases of one partition at which further claims are refused." },
                                { "claims", "outcome_delay", fieldOf<section, &ClaimSettings::outcomeDelay>, { "0ms", "10s" }, "Time that an outcome waits for claims to share a write with." },
                                { "claims", "retry_first", fieldOf<section, &ClaimSettings::initialBackoff>, { "1ms", "10s" }, "Back-off after a failed call to the store; doubled for each further failure." },
                                { "claims", "retry_most", fieldOf<section, &ClaimSettings::maxBackoff>, { "1ms", "1m" }, "Longest back-off after failed calls to the store." },
                            });
}

void addMembership(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::membership;
    keys.insert(keys.end(), {
                                { "membership", "probe_period", fieldOf<section, &MembershipSettings::probePeriod>, { "10ms", "60s" }, "Time between two probes that this instance sends." },
                                { "membership", "probe_timeout", fieldOf<section, &MembershipSettings::probeTimeout>, { "1ms", "10s" }, "Time-out of a direct probe, after which other instances probe the target." },
                                { "membership", "indirect_probes", fieldOf<section, &MembershipSettings::indirectProbes>, { "0", "10" }, "Number of instances that probe an unresponsive instance indirectly." },
                                { "membership", "suspicion_time", fieldOf<section, &MembershipSettings::suspicionTime>, { "10ms", "10m" }, "Time after which a suspect instance that has not refuted is removed." },
                                { "membership", "gone_memory", fieldOf<section, &MembershipSettings::goneMemory>, { "1s", "24h" }, "Time for which a removed instance is remembered." },
                                { "membership", "isolation_time", fieldOf<section, &MembershipSettings::isolationTime>, { "100ms", "10m" }, "Time without any response, from a peer or from the store, after which the instance is not ready." },
                                { "membership", "max_digests", fieldOf<section, &MembershipSettings::maxDigests>, { "1", "64" }, "Most digests in one message." },
                                { "membership", "bytes_per_second", fieldOf<section, &MembershipSettings::bytesPerSecond>, { "256B", "16MiB" }, "Budget of membership and rule traffic to peers, per second." },
                                { "membership", "watchers_per_zone", fieldOf<section, &MembershipSettings::watchersPerZone>, { "1", "100" }, "Number of instances per zone that watch the rules in the store." },
                            });
}

/// Marks a key that is set from a deployment's figures.
SettingKey figure(SettingKey key)
{
    key.isFigure = true;
    return key;
}

void addGateway(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::gateway;
    keys.insert(keys.end(), {
                                { "gateway", "callers", fieldOf<section, &GatewaySettings::callers>, {}, "Endpoint on which a gateway listens for callers." },
                                { "gateway", "store", fieldOf<section, &GatewaySettings::store>, {}, "Endpoint of the platform's store; replaces [platform] address and port for a gateway." },
                                { "gateway", "readiness", fieldOf<section, &GatewaySettings::readiness>, {}, "Endpoint on which a gateway serves the balancer's readiness checks." },
                                { "gateway", "metrics_port", fieldOf<section, &GatewaySettings::metricsPort>, { "0", "65535" }, "Port of a gateway's metrics, on the callers' address; 0: no metrics." },
                                { "gateway", "log_lines_per_second", fieldOf<section, &GatewaySettings::logLinesPerSecond>, { "1", "100000" }, "Limit on log lines about single requests, per second." },
                                figure({ "gateway", "cores", fieldOf<section, &GatewaySettings::cores>, { "0.1%", "100%" }, "Share of one core that a gateway may use." }),
                                figure({ "gateway", "configuration_limit", fieldOf<section, &GatewaySettings::configurationLimit>, { "10ms", "1h" }, "Longest time until a new configuration is in force." }),
                                figure({ "gateway", "servers_limit", fieldOf<section, &GatewaySettings::serversLimit>, { "10ms", "1h" }, "Longest time until a draining or removed server gets no new work." }),
                                figure({ "gateway", "renewal_period", fieldOf<section, &GatewaySettings::renewalPeriod>, { "1ms", "1h" }, "Period in which backend servers renew their entries in the store." }),
                                figure({ "gateway", "zone_drain_limit", fieldOf<section, &GatewaySettings::zoneDrainLimit>, { "0ms", "1h" }, "Longest time until the servers of a drained zone get no new work; 0: drains of zones are not followed." }),
                                figure({ "gateway", "stop_limit", fieldOf<section, &GatewaySettings::stopLimit>, { "100ms", "1h" }, "Longest time from SIGTERM until the process has ended." }),
                            });
}

void addForward(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::forward;
    keys.insert(keys.end(), {
                                figure({ "forward", "retry_ratio", fieldOf<section, &ForwardSettings::retryRatio>, { "0%", "100%" }, "Extra attempts that the whole fleet may make, as a share of the first attempts at a service." }),
                                figure({ "forward", "retry_slack", fieldOf<section, &ForwardSettings::retrySlack>, { "0", "1000000" }, "Further extra attempts of the whole fleet in each window." }),
                                figure({ "forward", "retry_window", fieldOf<section, &ForwardSettings::retryWindow>, { "1s", "10m" }, "Length of the window of the extra-attempt budget." }),
                                { "forward", "answer_margin", fieldOf<section, &ForwardSettings::answerMargin>, { "0ms", "10s" }, "Time kept free before a search's target latency, besides the times on the network and for merging the parts." },
                                { "forward", "least_hedge_delay", fieldOf<section, &ForwardSettings::minHedgeDelay>, { "0%", "100%" }, "Earliest hedge, as a share of the target latency." },
                                { "forward", "most_hedge_delay", fieldOf<section, &ForwardSettings::maxHedgeDelay>, { "0%", "100%" }, "Latest hedge, as a share of the time until the answer is due." },
                                { "forward", "cross_zone_cost", fieldOf<section, &ForwardSettings::crossZoneCost>, { "0ms", "1s" }, "Time by which a server in another zone must be better to be chosen." },
                                figure({ "forward", "warmup_tolerance", fieldOf<section, &ForwardSettings::warmupTolerance>, { "1", "100" }, "Multiple of a service's warm-up rate that a server takes while it warms up." }),
                                figure({ "forward", "warmup_slack", fieldOf<section, &ForwardSettings::warmupSlack>, { "0", "1000000" }, "Further requests that it takes in one second." }),
                            });
}

void addAdmission(std::vector<SettingKey>& keys)
{
    constexpr auto section = &Settings::admission;
    keys.insert(keys.end(), {
                                figure({ "admission", "revocation_limit", fieldOf<section, &AdmissionSettings::revocationLimit>, { "0ms", "1h" }, "Longest time until a removed API key is admitted nowhere, even by an instance that is cut off; 0: as soon as the configuration arrives." }),
                                figure({ "admission", "quota_window", fieldOf<section, &AdmissionSettings::quotaWindow>, { "100ms", "1h" }, "Length of the sliding window in which a team's requests are counted." }),
                                figure({ "admission", "quota_tolerance", fieldOf<section, &AdmissionSettings::quotaTolerance>, { "0%", "100%" }, "Requests that a window may hold beyond the quota, as a share of it." }),
                                figure({ "admission", "quota_slack", fieldOf<section, &AdmissionSettings::quotaSlack>, { "0", "1000000" }, "Further requests that a window may hold beyond the quota." }),
                            });
}

void addRest(std::vector<SettingKey>& keys)
{
    keys.insert(keys.end(), {
                                { "observe", "traces_kept", fieldOf<&Settings::observe, &ObserveSettings::tracesKept>, { "0", "1000000" }, "Number of traces of recent requests kept in memory." },
                                { "fault", "peer_message_loss", fieldOf<&Settings::fault, &FaultSettings::peerMessageLoss>, { "0%", "100%" }, "For tests: share of membership and rule messages that the sender drops." },
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
    addAdmission(keys);
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
