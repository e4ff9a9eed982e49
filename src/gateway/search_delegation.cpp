#include "gateway/search_delegation.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

namespace {

/// An answer that is later than its due time by more than this is no longer awaited.
constexpr Duration answerGrace = std::chrono::milliseconds(40);
constexpr Duration silenceCheckPeriod = std::chrono::milliseconds(25);
/// A timer that is late by more than this shows that the process was stalled.
constexpr Duration minStall = std::chrono::milliseconds(4);
/// After a stall: the time to read a confirmation that may have arrived meanwhile.
constexpr Duration stallGrace = std::chrono::milliseconds(12);
/// A dropped connection hands back its unsent messages within this time.
constexpr Duration undeliveredReturnTime = std::chrono::milliseconds(2);

AnnounceCrash messageOf(const CrashNews& news)
{
    return { news.fingerprint, news.crashes, news.quarantine, { news.server, {} }, news.service };
}

ProcessLife newLife()
{
    return ProcessLife(systemSeed());
}

}

SearchDelegation::SearchDelegation(SearchDelegationParts parts, DelegateChooser& chooser, const InstanceName& self, const ZoneName& zone)
    : m_parts(std::move(parts))
    , m_life(newLife())
    , m_chooser(chooser)
    , m_newsDistribution(self, zone)
    , m_network({ m_parts.io, Hello { self, m_life, zone }, m_parts.clock, std::make_shared<WireCounters>(), {}, std::nullopt }, m_view, *this)
    , m_sentCount(m_parts.metrics.counter("lycheefield_relay_calls_total"))
    , m_failedCount(m_parts.metrics.counter("lycheefield_relay_calls_failed_total"))
    , m_acceptedCount(m_parts.metrics.counter("lycheefield_relay_calls_taken_total"))
{
}

Result<Endpoint> SearchDelegation::listen(const Endpoint& endpoint)
{
    return m_network.listen(endpoint);
}

void SearchDelegation::onPeers(const std::vector<Instance>& instances, const std::set<InstanceName>& gone)
{
    m_view.publish(MembershipView(instances));
    auto present = instances;
    std::erase_if(present, [&](const auto& it) { return gone.contains(it.name); });
    m_chooser.onPeers(present);
    m_newsDistribution.onPeers(present);
    m_network.closeLinksToRemovedPeers();
}

void SearchDelegation::announceNews(const StoreNews& news)
{
    for (const auto& it : m_newsDistribution.recipients())
        m_network.send(it, news);
}

void SearchDelegation::onNews(const InstanceName& from, const StoreNews& news)
{
    for (const auto& it : m_newsDistribution.recipientsOfNewsFrom(from))
        m_network.send(it, news);
    m_parts.storeNews.onNews(from, news);
}

bool SearchDelegation::requestStoreState(const std::string& prefix)
{
    const auto sources = m_newsDistribution.stateSources();
    if (sources.empty())
        return false;
    m_network.send(sources.front(), StoreStateRequest { prefix });
    return true;
}

void SearchDelegation::sendStoreState(const InstanceName& to, const StoreNews& state)
{
    m_network.reply(to, state);
}

void SearchDelegation::announceCrash(const CrashNews& news)
{
    m_network.broadcast(messageOf(news));
    if (news.quarantine > Duration {})
        m_parts.storeNews.onQuarantined(news);
}

void SearchDelegation::shareCrashes(const std::vector<CrashNews>& announcements)
{
    if (announcements.empty())
        return;
    for (const auto& it : m_newsDistribution.crashNewsRecipients()) {
        for (const auto& news : announcements)
            m_network.send(it, messageOf(news));
    }
}

void SearchDelegation::reportCrash(const InstanceName& delegator, const CrashNews& news)
{
    m_network.reply(delegator, messageOf(news));
}

void SearchDelegation::delegate(const DelegateShards& action)
{
    const auto& request = action.request;
    SearchCall call;
    call.sequence = action.id.value();
    call.tableVersion = request.table->version;
    call.route = request.route->name;
    call.limits = request.route->searchLimits();
    call.shards = action.shards;
    call.attemptId = request.attemptId;
    call.content = request.content;
    call.team = request.team;
    call.teamRank = request.teamRank;
    call.message = *request.message;
    call.deadline = request.deadline;
    call.answerBy = action.answerBy - m_chooser.returnTime(action.instance);
    auto& delegation = m_delegations[action.id];
    delegation.peer = action.instance;
    delegation.attemptId = request.attemptId;
    delegation.sentAt = m_parts.clock->now();
    delegation.answerBy = action.answerBy;
    delegation.silenceTimeout = action.silenceTimeout;
    delegation.timer = std::make_unique<boost::asio::steady_timer>(m_parts.strand);
    m_sentCount.add();
    m_network.send(action.instance, std::move(call));
    const auto timeout = m_chooser.confirmationTimeout(action.instance);
    delegation.confirmationDeadline = delegation.sentAt + timeout;
    startTimer(action.id, timeout);
}

void SearchDelegation::startTimer(DelegationId id, Duration time)
{
    auto& timer = *m_delegations.at(id).timer;
    timer.expires_after(time);
    timer.async_wait([this, id](const boost::system::error_code& ec) {
        if (!ec)
            onTimeout(id);
    });
}

void SearchDelegation::onTimeout(DelegationId id)
{
    const auto it = m_delegations.find(id);
    if (it == m_delegations.end())
        return;
    if (it->second.isConfirmed)
        return onSilent(id);
    const auto now = m_parts.clock->now();
    // This process was stalled: the confirmation may have arrived and not have been read yet.
    if (now > it->second.confirmationDeadline + minStall) {
        it->second.confirmationDeadline = now + stallGrace;
        return startTimer(id, stallGrace);
    }
    m_chooser.recordNoConfirmation(it->second.peer, now);
    // The connection may be dead, so the next delegation uses a new one. Unsent messages are handed back before the delegation fails.
    m_network.drop(it->second.peer);
    it->second.timer->expires_after(undeliveredReturnTime);
    it->second.timer->async_wait([this, id](const boost::system::error_code& ec) {
        if (!ec)
            fail(id, "the delegate sent no confirmation in time", true);
    });
}

void SearchDelegation::onSilent(DelegationId id)
{
    // Checked again later: the answer may still arrive.
    startTimer(id, silenceCheckPeriod);
    if (!m_parts.events.onDelegationSilent(id) || !m_delegations.contains(id))
        return;
    const auto delegation = abandon(id, true);
    m_parts.log.write(LineImportance::Extra, m_parts.clock->now(), "delegate silent; its legs are taken back", { { "request", delegation.attemptId }, { "instance", delegation.peer.value() } });
}

SearchDelegation::Delegation SearchDelegation::abandon(DelegationId id, bool mayHaveRun)
{
    auto delegation = std::move(m_delegations.extract(id).mapped());
    m_failedCount.add();
    if (mayHaveRun)
        m_network.send(delegation.peer, SearchNote { id.value(), SearchNoteKind::Cancelled });
    return delegation;
}

void SearchDelegation::fail(DelegationId id, std::string_view reason, bool mayHaveRun)
{
    if (!m_delegations.contains(id))
        return;
    const auto delegation = abandon(id, mayHaveRun);
    m_parts.log.write(LineImportance::Extra, m_parts.clock->now(), "delegation failed", { { "request", delegation.attemptId }, { "instance", delegation.peer.value() }, { "why", reason } });
    m_parts.events.onDelegationFailed(id, mayHaveRun);
}

void SearchDelegation::failAll(const InstanceName& peer, std::string_view reason)
{
    std::vector<DelegationId> ids;
    for (const auto& [id, delegation] : m_delegations) {
        if (delegation.peer == peer)
            ids.push_back(id);
    }
    for (const auto& it : ids)
        fail(it, reason, true);
}

void SearchDelegation::cancel(DelegationId id)
{
    const auto it = m_delegations.find(id);
    if (it == m_delegations.end())
        return;
    m_network.send(it->second.peer, SearchNote { id.value(), SearchNoteKind::Cancelled });
    m_delegations.erase(it);
}

void SearchDelegation::grantExtraAttempts(DelegationId id)
{
    const auto it = m_delegations.find(id);
    if (it == m_delegations.end())
        return;
    m_network.send(it->second.peer, SearchNote { id.value(), SearchNoteKind::ExtraAttemptsGranted });
    it->second.isConfirmed = true;
    startTimer(id, std::max(Duration {}, it->second.answerBy + answerGrace - m_parts.clock->now()));
}

void SearchDelegation::requestExtraAttempts(const InstanceName& delegator, std::uint64_t sequence, std::vector<std::uint32_t> positions)
{
    m_network.reply(delegator, SearchNote { sequence, SearchNoteKind::ExtraAttemptsRequested, std::move(positions) });
}

void SearchDelegation::sendAnswer(const InstanceName& delegator, std::uint64_t sequence, ForwardAnswer answer)
{
    m_network.reply(delegator, SearchReply { sequence, std::move(answer) });
}

void SearchDelegation::onPeerMessage(const Hello& from, PeerMessage message)
{
    boost::asio::dispatch(m_parts.strand, [this, peer = from.instance, message = std::move(message)]() mutable { receive(peer, message); });
}

void SearchDelegation::receive(const InstanceName& from, PeerMessage& message)
{
    if (m_peerHeardHandler)
        m_peerHeardHandler(from);
    if (const auto* call = std::get_if<SearchCall>(&message))
        onCall(from, *call);
    else if (const auto* note = std::get_if<SearchNote>(&message))
        onNote(from, *note);
    else if (auto* response = std::get_if<SearchReply>(&message))
        onResponse(from, *response);
    else if (const auto* news = std::get_if<StoreNews>(&message))
        onNews(from, *news);
    else if (const auto* request = std::get_if<StoreStateRequest>(&message))
        m_parts.storeNews.onStateRequested(from, *request);
    else if (const auto* crash = std::get_if<AnnounceCrash>(&message))
        m_parts.events.onCrashAnnounced({ crash->fingerprint, crash->crashes, crash->quarantine, crash->location.server, crash->service });
    else if (m_quotaEvents)
        receiveQuotaMessage(from, message);
}

void SearchDelegation::receiveQuotaMessage(const InstanceName& from, const PeerMessage& message)
{
    if (const auto* call = std::get_if<QuotaCall>(&message))
        m_quotaEvents->onQuotaCall(from, *call);
    else if (const auto* reply = std::get_if<QuotaReply>(&message))
        m_quotaEvents->onQuotaReply(from, *reply);
    else if (const auto* claim = std::get_if<RoleClaim>(&message))
        m_quotaEvents->onRoleClaim(from, *claim);
    else if (const auto* claimReply = std::get_if<RoleClaimReply>(&message))
        m_quotaEvents->onRoleClaimReply(from, *claimReply);
    else if (const auto* resignation = std::get_if<RoleResignation>(&message))
        m_quotaEvents->onRoleResignation(from, *resignation);
}

void SearchDelegation::onCall(const InstanceName& from, const SearchCall& call)
{
    // A call that was on its way for long leaves its servers no time.
    const bool isAccepted = call.deadline > m_parts.clock->now() && m_parts.events.canRun(call);
    m_network.reply(from, SearchNote { call.sequence, isAccepted ? SearchNoteKind::Taken : SearchNoteKind::Declined });
    if (!isAccepted)
        return;
    m_acceptedCount.add();
    m_parts.events.runDelegated(from, call);
}

void SearchDelegation::onNote(const InstanceName& from, const SearchNote& note)
{
    if (note.kind == SearchNoteKind::Cancelled)
        return m_parts.events.cancelDelegated(from, note.sequence);
    if (note.kind == SearchNoteKind::ExtraAttemptsGranted)
        return m_parts.events.onExtraAttemptsGranted(from, note.sequence);
    const DelegationId id(note.sequence);
    const auto it = m_delegations.find(id);
    if (it == m_delegations.end() || it->second.peer != from)
        return;
    const auto now = m_parts.clock->now();
    if (note.kind == SearchNoteKind::ExtraAttemptsRequested)
        return m_parts.events.onExtraAttemptsRequested(id, note.positions);
    if (note.kind == SearchNoteKind::Declined) {
        m_chooser.recordDecline(from, now);
        return fail(id, "the delegate declined", false);
    }
    it->second.isConfirmed = true;
    m_chooser.recordConfirmation(from, now - it->second.sentAt);
    startTimer(id, it->second.silenceTimeout);
}

void SearchDelegation::onResponse(const InstanceName& from, SearchReply& response)
{
    const DelegationId id(response.sequence);
    const auto it = m_delegations.find(id);
    if (it == m_delegations.end() || it->second.peer != from)
        return;
    m_delegations.erase(it);
    m_parts.events.onDelegationAnswered(id, response.answer);
}

void SearchDelegation::onLinkLost(const InstanceName& peer)
{
    boost::asio::post(m_parts.strand, [this, peer] {
        m_chooser.recordNoConfirmation(peer, m_parts.clock->now());
        failAll(peer, "the connection to the delegate was lost");
    });
}

void SearchDelegation::onUndelivered(const InstanceName& to, PeerMessage message, UndeliveredReason reason)
{
    if (const auto* request = std::get_if<StoreStateRequest>(&message))
        boost::asio::post(m_parts.strand, [this, request = *request] { m_parts.storeNews.onStateRequestFailed(request); });
    if (const auto* call = std::get_if<QuotaCall>(&message); call && m_quotaEvents)
        boost::asio::post(m_parts.strand, [this, reason, sequence = call->sequence] { m_quotaEvents->onQuotaCallUndelivered(sequence, reason); });
    const auto* call = std::get_if<SearchCall>(&message);
    if (!call)
        return;
    boost::asio::post(m_parts.strand, [this, to, reason, id = DelegationId(call->sequence)] {
        if (reason != UndeliveredReason::NoLocalResources)
            m_chooser.recordNoConfirmation(to, m_parts.clock->now());
        fail(id, "the request was not delivered", false);
    });
}

void SearchDelegation::onPeerDisconnected(const InstanceName& peer)
{
    boost::asio::post(m_parts.strand, [this, peer] { m_parts.events.cancelAllDelegated(peer); });
}

}
