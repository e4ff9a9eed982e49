#include "gateway/search_delegation.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

namespace {

/// Parts that are later than they should be by this much are not waited for any more.
constexpr Duration answerOverdue = std::chrono::milliseconds(40);
constexpr Duration silenceCheckPeriod = std::chrono::milliseconds(25);
/// A timer that is late by this much tells that the process was held up; then there is so much more time.
constexpr Duration heldUpAtLeast = std::chrono::milliseconds(4);
constexpr Duration timeToRead = std::chrono::milliseconds(12);
/// What a dropped connection never sent is handed back within this time.
constexpr Duration undeliveredComesBack = std::chrono::milliseconds(2);

ProcessLife newLife()
{
    return ProcessLife(systemSeed());
}

}

SearchDelegation::SearchDelegation(SearchDelegationParts parts, DelegateChooser& chooser, const InstanceName& self, const ZoneName& zone)
    : m_parts(std::move(parts))
    , m_life(newLife())
    , m_chooser(chooser)
    , m_newsPaths(self, zone)
    , m_network({ m_parts.io, Hello { self, m_life, zone }, m_parts.clock, std::make_shared<WireCounters>(), {}, std::nullopt }, m_view, *this)
    , m_askedCount(m_parts.metrics.counter("lycheefield_relay_calls_total"))
    , m_failedCount(m_parts.metrics.counter("lycheefield_relay_calls_failed_total"))
    , m_takenCount(m_parts.metrics.counter("lycheefield_relay_calls_taken_total"))
{
}

Result<Endpoint> SearchDelegation::listen(const Endpoint& endpoint)
{
    return m_network.listen(endpoint);
}

void SearchDelegation::onPeers(const std::vector<Instance>& instances)
{
    m_view.publish(MembershipView(instances));
    m_chooser.onPeers(instances);
    m_newsPaths.onPeers(instances);
    m_network.dropGone();
}

void SearchDelegation::share(const StoreNews& news)
{
    for (const auto& it : m_newsPaths.toTell())
        m_network.send(it, news);
}

void SearchDelegation::onNews(const InstanceName& from, const StoreNews& news)
{
    for (const auto& it : m_newsPaths.toTellFrom(from))
        m_network.send(it, news);
    m_parts.onNews(news);
}

void SearchDelegation::tell(const AnnounceContentCrash& crash)
{
    AnnounceCrash message;
    message.fingerprint = crash.content;
    message.crashes = 1;
    message.place.server = crash.server;
    m_network.broadcast(message);
}

void SearchDelegation::ask(const DelegateShards& ask)
{
    const auto& request = ask.request;
    SearchCall call;
    call.sequence = ask.id.value();
    call.tableVersion = request.table->version;
    call.route = request.route->name;
    call.shards = ask.shards;
    call.attemptId = request.attemptId;
    call.message = *request.message;
    call.deadline = request.deadline;
    call.answerBy = ask.answerBy - m_chooser.returnTime(ask.instance);
    auto& asked = m_asked[ask.id];
    asked.peer = ask.instance;
    asked.attemptId = request.attemptId;
    asked.askedAt = m_parts.clock->now();
    asked.answerBy = ask.answerBy;
    asked.silenceTimeout = ask.silenceTimeout;
    asked.timer = std::make_unique<boost::asio::steady_timer>(m_parts.strand);
    m_askedCount.add();
    m_network.send(ask.instance, std::move(call));
    const auto timeout = m_chooser.confirmationTimeout(ask.instance);
    asked.confirmedBy = asked.askedAt + timeout;
    waitFor(ask.id, timeout);
}

void SearchDelegation::waitFor(DelegationId id, Duration time)
{
    auto& timer = *m_asked.at(id).timer;
    timer.expires_after(time);
    timer.async_wait([this, id](const boost::system::error_code& ec) {
        if (!ec)
            onOverdue(id);
    });
}

void SearchDelegation::onOverdue(DelegationId id)
{
    const auto it = m_asked.find(id);
    if (it == m_asked.end())
        return;
    if (it->second.isTaken)
        return onSilent(id);
    const auto now = m_parts.clock->now();
    // This process was held up: the confirmation may be here, not yet read.
    if (now > it->second.confirmedBy + heldUpAtLeast) {
        it->second.confirmedBy = now + timeToRead;
        return waitFor(id, timeToRead);
    }
    m_chooser.recordNoConfirmation(it->second.peer, now);
    // The connection may have gone silent for good: the next call uses a new one. What it never sent comes back first.
    m_network.drop(it->second.peer);
    it->second.timer->expires_after(undeliveredComesBack);
    it->second.timer->async_wait([this, id](const boost::system::error_code& ec) {
        if (!ec)
            fail(id, "not confirmed", true);
    });
}

void SearchDelegation::onSilent(DelegationId id)
{
    // Asked again later, while its answer may still come.
    waitFor(id, silenceCheckPeriod);
    if (!m_parts.events.onDelegationSilent(id) || !m_asked.contains(id))
        return;
    const auto asked = giveUp(id, true);
    m_parts.log.write(LineImportance::Extra, m_parts.clock->now(), "relay silent", { { "request", asked.attemptId }, { "instance", asked.peer.value() } });
}

SearchDelegation::Asked SearchDelegation::giveUp(DelegationId id, bool mayHaveRun)
{
    auto asked = std::move(m_asked.extract(id).mapped());
    m_failedCount.add();
    if (mayHaveRun)
        m_network.send(asked.peer, SearchNote { id.value(), SearchNoteKind::Cancelled });
    return asked;
}

void SearchDelegation::fail(DelegationId id, std::string_view why, bool mayHaveRun)
{
    if (!m_asked.contains(id))
        return;
    const auto asked = giveUp(id, mayHaveRun);
    m_parts.log.write(LineImportance::Extra, m_parts.clock->now(), "relay failed", { { "request", asked.attemptId }, { "instance", asked.peer.value() }, { "why", why } });
    m_parts.events.onDelegationFailed(id, mayHaveRun);
}

void SearchDelegation::failAll(const InstanceName& peer, std::string_view why)
{
    std::vector<DelegationId> ids;
    for (const auto& [id, asked] : m_asked) {
        if (asked.peer == peer)
            ids.push_back(id);
    }
    for (const auto& it : ids)
        fail(it, why, true);
}

void SearchDelegation::end(DelegationId id)
{
    const auto it = m_asked.find(id);
    if (it == m_asked.end())
        return;
    m_network.send(it->second.peer, SearchNote { id.value(), SearchNoteKind::Cancelled });
    m_asked.erase(it);
}

void SearchDelegation::grant(DelegationId id)
{
    const auto it = m_asked.find(id);
    if (it == m_asked.end())
        return;
    m_network.send(it->second.peer, SearchNote { id.value(), SearchNoteKind::ExtraAttemptsGranted });
    it->second.isTaken = true;
    waitFor(id, std::max(Duration {}, it->second.answerBy + answerOverdue - m_parts.clock->now()));
}

void SearchDelegation::want(const InstanceName& caller, std::uint64_t sequence, std::vector<std::uint32_t> positions)
{
    m_network.reply(caller, SearchNote { sequence, SearchNoteKind::ExtraAttemptsRequested, std::move(positions) });
}

void SearchDelegation::reply(const InstanceName& caller, std::uint64_t sequence, ForwardAnswer answer)
{
    m_network.reply(caller, SearchReply { sequence, std::move(answer) });
}

void SearchDelegation::onPeerMessage(const Hello& from, PeerMessage message)
{
    boost::asio::dispatch(m_parts.strand, [this, peer = from.instance, message = std::move(message)]() mutable { receive(peer, message); });
}

void SearchDelegation::receive(const InstanceName& from, PeerMessage& message)
{
    if (const auto* call = std::get_if<SearchCall>(&message))
        onCall(from, *call);
    else if (const auto* note = std::get_if<SearchNote>(&message))
        onNote(from, *note);
    else if (auto* reply = std::get_if<SearchReply>(&message))
        onResponse(from, *reply);
    else if (const auto* news = std::get_if<StoreNews>(&message))
        onNews(from, *news);
    else if (const auto* crash = std::get_if<AnnounceCrash>(&message))
        m_parts.events.onCrashNews(crash->fingerprint, crash->place.server);
}

void SearchDelegation::onCall(const InstanceName& from, const SearchCall& call)
{
    const bool isTaken = m_parts.events.canRun(call);
    m_network.reply(from, SearchNote { call.sequence, isTaken ? SearchNoteKind::Taken : SearchNoteKind::Declined });
    if (!isTaken)
        return;
    m_takenCount.add();
    m_parts.events.runFor(from, call);
}

void SearchDelegation::onNote(const InstanceName& from, const SearchNote& note)
{
    if (note.kind == SearchNoteKind::Cancelled)
        return m_parts.events.cancelFor(from, note.sequence);
    if (note.kind == SearchNoteKind::ExtraAttemptsGranted)
        return m_parts.events.grantFor(from, note.sequence);
    const DelegationId id(note.sequence);
    const auto it = m_asked.find(id);
    if (it == m_asked.end() || it->second.peer != from)
        return;
    const auto now = m_parts.clock->now();
    if (note.kind == SearchNoteKind::ExtraAttemptsRequested)
        return m_parts.events.onExtraAttemptsRequested(id, note.positions);
    if (note.kind == SearchNoteKind::Declined) {
        m_chooser.recordDecline(from, now);
        return fail(id, "declined", false);
    }
    it->second.isTaken = true;
    m_chooser.recordConfirmation(from, now - it->second.askedAt);
    waitFor(id, it->second.silenceTimeout);
}

void SearchDelegation::onResponse(const InstanceName& from, SearchReply& reply)
{
    const DelegationId id(reply.sequence);
    const auto it = m_asked.find(id);
    if (it == m_asked.end() || it->second.peer != from)
        return;
    m_asked.erase(it);
    m_parts.events.onDelegationAnswered(id, reply.answer);
}

void SearchDelegation::onLinkLost(const InstanceName& peer)
{
    boost::asio::post(m_parts.strand, [this, peer] {
        m_chooser.recordNoConfirmation(peer, m_parts.clock->now());
        failAll(peer, "connection lost");
    });
}

void SearchDelegation::onUndelivered(const InstanceName& to, PeerMessage message)
{
    const auto* call = std::get_if<SearchCall>(&message);
    if (!call)
        return;
    boost::asio::post(m_parts.strand, [this, to, id = DelegationId(call->sequence)] {
        m_chooser.recordNoConfirmation(to, m_parts.clock->now());
        fail(id, "not delivered", false);
    });
}

void SearchDelegation::onPeerGone(const InstanceName& peer)
{
    boost::asio::post(m_parts.strand, [this, peer] { m_parts.events.cancelAllFor(peer); });
}

}
