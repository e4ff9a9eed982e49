#include "fault_matrix/request_node.h"

#include "base/fingerprint.h"

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr Duration requestDeadline = 2s;
constexpr Duration storeLatency = 2ms;
constexpr Duration storeTimeout = 500ms;

}

void RequestTestBed::send(std::size_t instance, RequestKind kind, const std::string& path, const std::string& body, const std::string& key)
{
    auto& node = *m_nodes[instance];
    const auto now = m_timeline.now();
    if (node.isDraining && now > node.balancerSendsUntil)
        return;
    CallerRequest request;
    request.id = RequestId { node.self.life, node.nextRequest++ };
    request.path = path;
    request.body = std::make_shared<const std::string>(body);
    request.record = key.empty() ? body : key;
    request.deadline = now + requestDeadline;
    if (m_listener && !m_watched)
        m_watched = request.id;
    CallRecord record { request.id, kind, key, body, shards, now, request.deadline, {}, never, false, false, true };
    record.isExcused = !node.isUp || node.isPaused;
    m_history.calls.emplace(request.id, record);
    reportStep(request.id, Step::Before);
    runOnNode(instance, node.epoch, [this, request, kind, key](Node& it) {
        reportStep(request.id, Step::Arrived);
        if (kind == RequestKind::Order && m_options.mutation != Mutation::DispatchWithoutClaim) {
            it.pendingClaims.emplace(request.id, request);
            ClaimActions actions;
            it.claims->claim({ request.id, IdempotencyKey(key), fingerprintOf(ServiceName("desk"), *request.body), request.deadline }, m_timeline.now(), actions);
            execute(it, actions);
            return;
        }
        QueryActions actions;
        it.query->start(request, it.tables->tables, m_timeline.now(), actions);
        execute(it, actions);
    });
}

void RequestTestBed::execute(Node& node, const ClaimActions& actions)
{
    for (const auto& it : actions) {
        if (const auto* read = std::get_if<ReadObject>(&it))
            callStore(node, read->call, [this, key = read->key] { return m_store.read(key, m_timeline.now()); });
        if (const auto* write = std::get_if<WriteObject>(&it)) {
            for (const auto& [request, call] : node.pendingClaims)
                reportStep(request, Step::ClaimSent);
            callStore(node, write->call, [this, write = *write] { return writeStore(write); });
        }
        if (const auto* decided = std::get_if<ClaimDecided>(&it))
            onClaimDecided(node, *decided);
    }
}

standin::StoreResult RequestTestBed::writeStore(const WriteObject& write)
{
    auto answer = m_store.write(write.key, write.expected, write.value, m_timeline.now());
    if (answer.lost && m_options.mutation == Mutation::LostWriteTreatedAsSuccess) {
        answer.lost = false;
        answer.status = standin::PlatformStatus::Ok;
        answer.object = { write.key, ObjectVersion { write.expected.value + 1 }, {} };
    }
    return answer;
}

void RequestTestBed::callStore(Node& node, StoreCallId call, const std::function<standin::StoreResult()>& operation)
{
    m_timeline.after(storeLatency, [this, index = node.index, epoch = node.epoch, call, operation] {
        const auto answer = operation();
        const bool isLost = answer.lost || answer.delay > storeTimeout;
        StoreResponse response { call, isLost ? StoreStatus::Lost : standin::toStoreStatus(answer), answer.object };
        m_timeline.after(isLost ? storeTimeout : storeLatency + answer.delay, [this, index, epoch, response] {
            runOnNode(index, epoch, [this, response](Node& it) {
                ClaimActions actions;
                it.claims->onStoreResponse(response, m_timeline.now(), actions);
                execute(it, actions);
            });
        });
    });
}

void RequestTestBed::onClaimDecided(Node& node, const ClaimDecided& decided)
{
    const auto it = node.pendingClaims.find(decided.request);
    if (it == node.pendingClaims.end())
        return;
    const auto request = it->second;
    node.pendingClaims.erase(it);
    reportStep(request.id, Step::ClaimSettled);
    if (decided.verdict == ClaimVerdict::Granted) {
        node.grantedClaims.insert(request.id);
        QueryActions actions;
        node.query->start(request, node.tables->tables, m_timeline.now(), actions);
        execute(node, actions);
        return;
    }
    Answer answer;
    answer.request = request.id;
    answer.refusal = Error { ErrorKind::Conflict, "the claim was not granted", "send the order again with the same key" };
    answer.runState = runStateOf(decided);
    if (decided.verdict == ClaimVerdict::StoreUnavailable && m_options.mutation == Mutation::RefusedClaimReportedNotRun)
        answer.runState = RunState::NotRun;
    m_history.calls.at(request.id).isReplay = decided.verdict == ClaimVerdict::AlreadyDone;
    deliver(node, answer);
}

void RequestTestBed::execute(Node& node, const QueryActions& actions)
{
    for (const auto& it : actions) {
        if (const auto* work = std::get_if<SendWork>(&it))
            sendWork(node, *work);
        if (const auto* cancel = std::get_if<CancelAttempt>(&it)) {
            send(node.index, indexOf(cancel->relay), [this, key = cancel->key](Node& relay) {
                RelayActions out;
                relay.relay->onCancel(key, m_timeline.now(), out);
                execute(relay, out);
            });
        }
        if (const auto* done = std::get_if<DeliverAnswer>(&it))
            deliver(node, done->answer);
    }
    scheduleWake(node);
}

void RequestTestBed::sendWork(Node& node, const SendWork& action)
{
    reportStep(action.work.request, Step::WorkSent);
    const auto to = indexOf(action.relay);
    if (to >= instances) {
        m_timeline.after(1ms, [this, index = node.index, epoch = node.epoch, lost = action.relay] {
            runOnNode(index, epoch, [this, lost](Node& it) {
                QueryActions out;
                it.query->onRelayDisconnected(lost, m_timeline.now(), out);
                execute(it, out);
            });
        });
        return;
    }
    send(node.index, to, [this, work = action.work](Node& relay) {
        RelayActions out;
        relay.relay->onWork(work, m_timeline.now(), out);
        execute(relay, out);
    });
}

void RequestTestBed::deliver(Node& node, const Answer& answer)
{
    const auto it = m_history.calls.find(answer.request);
    if (it == m_history.calls.end())
        return;
    it->second.answers.push_back(answer);
    it->second.answered = m_timeline.now();
    if (node.grantedClaims.erase(answer.request)) {
        ClaimActions actions;
        if (answer.runState == RunState::NotRun)
            node.claims->release(answer.request, m_timeline.now(), actions);
        else
            node.claims->recordOutcome(answer.request, answer.runState, "done", m_timeline.now(), actions);
        execute(node, actions);
    }
    reportStep(answer.request, Step::Answered);
}

}
