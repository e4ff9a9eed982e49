#include "gateway/search_relay.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

namespace {

/// Parts that are later than they should be by this much are not waited for any more.
constexpr Duration answerOverdue = std::chrono::milliseconds(40);

ProcessLife newLife()
{
    return ProcessLife(systemSeed());
}

}

SearchRelay::SearchRelay(SearchRelayParts parts, RelayChooser& chooser, const InstanceName& self, const ZoneName& zone)
    : m_parts(std::move(parts))
    , m_life(newLife())
    , m_chooser(chooser)
    , m_network({ m_parts.io, Hello { self, m_life, zone }, m_parts.clock, std::make_shared<WireCounters>(), {}, std::nullopt }, m_view, *this)
    , m_askedCount(m_parts.metrics.counter("lycheefield_relay_calls_total"))
    , m_failedCount(m_parts.metrics.counter("lycheefield_relay_calls_failed_total"))
    , m_takenCount(m_parts.metrics.counter("lycheefield_relay_calls_taken_total"))
{
}

Result<Endpoint> SearchRelay::listen(const Endpoint& endpoint)
{
    return m_network.listen(endpoint);
}

void SearchRelay::onPeers(const std::vector<Instance>& instances)
{
    m_view.publish(MembershipView(instances));
    m_chooser.onPeers(instances);
    m_network.dropGone();
}

void SearchRelay::ask(const AskRelay& ask)
{
    const auto& request = ask.request;
    SearchCall call;
    call.sequence = request.number.value();
    call.tableVersion = request.table->version;
    call.route = request.route->name;
    call.shards = ask.shards;
    call.attemptId = request.attemptId;
    call.message = *request.message;
    call.deadline = request.deadline;
    call.answerBy = ask.answerBy - m_chooser.wayBack(ask.instance);
    auto& asked = m_asked[request.number];
    asked.peer = ask.instance;
    asked.attemptId = request.attemptId;
    asked.askedAt = m_parts.clock->now();
    asked.answerBy = ask.answerBy;
    asked.timer = std::make_unique<boost::asio::steady_timer>(m_parts.strand);
    m_askedCount.add();
    m_network.send(ask.instance, std::move(call));
    waitFor(request.number, m_chooser.receiptTimeout(ask.instance));
}

void SearchRelay::waitFor(RequestNumber number, Duration time)
{
    auto& timer = *m_asked.at(number).timer;
    timer.expires_after(time);
    timer.async_wait([this, number](const boost::system::error_code& ec) {
        if (!ec)
            onOverdue(number);
    });
}

void SearchRelay::onOverdue(RequestNumber number)
{
    const auto it = m_asked.find(number);
    if (it == m_asked.end())
        return;
    if (it->second.isTaken)
        return fail(number, "answer overdue");
    m_chooser.noteSilence(it->second.peer, m_parts.clock->now());
    // The connection may have gone silent for good: the next call uses a new one.
    m_network.drop(it->second.peer);
    fail(number, "not confirmed");
}

void SearchRelay::fail(RequestNumber number, std::string_view why)
{
    const auto it = m_asked.find(number);
    if (it == m_asked.end())
        return;
    const auto asked = std::move(it->second);
    m_asked.erase(it);
    m_failedCount.add();
    m_network.send(asked.peer, SearchNote { number.value(), SearchNoteKind::Cancelled });
    m_parts.log.write(LineWeight::Extra, m_parts.clock->now(), "relay failed", { { "request", asked.attemptId }, { "instance", asked.peer.value() }, { "why", why } });
    m_parts.events.onRelayFailed(number, asked.isTaken);
}

void SearchRelay::failAll(const InstanceName& peer, std::string_view why)
{
    std::vector<RequestNumber> numbers;
    for (const auto& [number, asked] : m_asked) {
        if (asked.peer == peer)
            numbers.push_back(number);
    }
    for (const auto& it : numbers)
        fail(it, why);
}

void SearchRelay::end(RequestNumber number)
{
    const auto it = m_asked.find(number);
    if (it == m_asked.end())
        return;
    m_network.send(it->second.peer, SearchNote { number.value(), SearchNoteKind::Cancelled });
    m_asked.erase(it);
}

void SearchRelay::reply(const InstanceName& caller, std::uint64_t sequence, ForwardAnswer answer)
{
    answer.request = RequestNumber(sequence);
    m_network.reply(caller, SearchReply { std::move(answer) });
}

void SearchRelay::onPeerMessage(const Hello& from, PeerMessage message)
{
    boost::asio::dispatch(m_parts.strand, [this, peer = from.instance, message = std::move(message)]() mutable { receive(peer, message); });
}

void SearchRelay::receive(const InstanceName& from, PeerMessage& message)
{
    if (const auto* call = std::get_if<SearchCall>(&message))
        onCall(from, *call);
    else if (const auto* note = std::get_if<SearchNote>(&message))
        onNote(from, *note);
    else if (auto* reply = std::get_if<SearchReply>(&message))
        onReply(from, *reply);
}

void SearchRelay::onCall(const InstanceName& from, const SearchCall& call)
{
    const bool isTaken = m_parts.events.runFor(from, call);
    if (isTaken)
        m_takenCount.add();
    m_network.reply(from, SearchNote { call.sequence, isTaken ? SearchNoteKind::Taken : SearchNoteKind::Declined });
}

void SearchRelay::onNote(const InstanceName& from, const SearchNote& note)
{
    if (note.kind == SearchNoteKind::Cancelled)
        return m_parts.events.cancelFor(from, note.sequence);
    const RequestNumber number(note.sequence);
    const auto it = m_asked.find(number);
    if (it == m_asked.end() || it->second.peer != from)
        return;
    const auto now = m_parts.clock->now();
    if (note.kind == SearchNoteKind::Declined) {
        m_chooser.noteDeclined(from, now);
        return fail(number, "declined");
    }
    it->second.isTaken = true;
    m_chooser.noteReceipt(from, now - it->second.askedAt);
    waitFor(number, std::max(Duration {}, it->second.answerBy + answerOverdue - now));
}

void SearchRelay::onReply(const InstanceName& from, SearchReply& reply)
{
    const auto it = m_asked.find(reply.answer.request);
    if (it == m_asked.end() || it->second.peer != from)
        return;
    m_asked.erase(it);
    m_parts.events.onRelayed(reply.answer);
}

void SearchRelay::onLinkLost(const InstanceName& peer)
{
    boost::asio::post(m_parts.strand, [this, peer] {
        m_chooser.noteSilence(peer, m_parts.clock->now());
        failAll(peer, "connection lost");
    });
}

void SearchRelay::onUndelivered(const InstanceName& to, PeerMessage message)
{
    const auto* call = std::get_if<SearchCall>(&message);
    if (!call)
        return;
    boost::asio::post(m_parts.strand, [this, to, number = RequestNumber(call->sequence)] {
        m_chooser.noteSilence(to, m_parts.clock->now());
        fail(number, "not delivered");
    });
}

void SearchRelay::onPeerGone(const InstanceName& peer)
{
    boost::asio::post(m_parts.strand, [this, peer] { m_parts.events.cancelAllFor(peer); });
}

}
