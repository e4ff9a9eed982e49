#include "daemon/claims_role.h"

#include "base/fingerprint.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Maximum number of claims remembered for late grants; beyond it the oldest is released again and evicted.
constexpr std::size_t maxReleased = 10000;

}

InstanceName claimOwner(std::uint32_t partition, const MembershipView& view)
{
    InstanceName owner;
    std::uint64_t best = 0;
    for (const auto& [name, instance] : view.instances()) {
        if (!instance.canOwn())
            continue;
        const auto weight = stableHash(name.value(), partition);
        if (owner.value().empty() || weight > best) {
            owner = name;
            best = weight;
        }
    }
    return owner;
}

ClaimsRole::ClaimsRole(const ClaimsContext& context, const ClaimSettings& settings, InstanceName self, std::shared_ptr<ClaimDriver> driver, const ClaimForwardTimes& times)
    : m_context(context)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_times(times)
    , m_driver(std::move(driver))
    , m_strand(boost::asio::make_strand(context.io))
    , m_timer(m_strand, context.clock)
{
}

void ClaimsRole::claim(const ClaimRequest& request, Handler handler)
{
    boost::asio::post(m_strand, [self = shared_from_this(), request, handler = std::move(handler)]() mutable {
        const auto owner = claimOwner(claimPartitionOf(request.key, self->m_settings), *self->m_context.view.read());
        if (owner.value().empty() || owner == self->m_self)
            self->claimLocally(request, std::move(handler));
        else
            self->forward(request, std::move(handler), owner);
    });
}

void ClaimsRole::claimLocally(const ClaimRequest& request, Handler handler)
{
    m_driver->claim(request, [self = shared_from_this(), request, handler = std::move(handler)](const ClaimDecided& decided) {
        boost::asio::post(self->m_strand, [self, request, decided, handler] {
            if (decided.verdict == ClaimVerdict::Granted)
                self->m_granted[request.request] = { request, self->m_self };
            handler(decided);
        });
    });
}

void ClaimsRole::forward(const ClaimRequest& request, Handler handler, const InstanceName& owner)
{
    m_forwarded[request.request] = { request, std::move(handler), owner, request.deadline };
    {
        const std::lock_guard lock(m_countersMutex);
        ++m_counters.forwarded;
    }
    m_context.network.send(owner, ClaimCall { request, std::nullopt, {} });
    update();
}

/// Precondition: the claim has not been refused yet.
void ClaimsRole::refuse(ForwardedClaim& forwarded)
{
    {
        const std::lock_guard lock(m_countersMutex);
        ++m_counters.unanswered;
    }
    forwarded.dueAt = forwarded.request.deadline + m_times.decisionMargin;
    const auto handler = std::exchange(forwarded.handler, nullptr);
    handler({ forwarded.request.request, ClaimVerdict::StoreUnavailable, RunState::Unknown, {} });
}

void ClaimsRole::recordOutcome(const RequestId& request, RunState state, const std::string& answer)
{
    boost::asio::post(m_strand, [self = shared_from_this(), request, state, answer] { self->settle(request, state, answer); });
}

void ClaimsRole::release(const RequestId& request)
{
    boost::asio::post(m_strand, [self = shared_from_this(), request] { self->settle(request, RunState::NotRun, {}); });
}

void ClaimsRole::settle(const RequestId& request, RunState state, const std::string& answer)
{
    const auto found = m_granted.extract(request);
    if (!found)
        return;
    const auto& granted = found.mapped();
    ClaimCall call { granted.request, state, answer.size() <= m_settings.maxAnswer.value ? answer : std::string {} };
    if (granted.owner == m_self)
        return settleLocally(call);
    m_unsettled[request] = { call, granted.owner, m_context.clock->now() + m_times.settleTimeout };
    m_context.network.send(granted.owner, std::move(call));
    update();
}

void ClaimsRole::settleLocally(const ClaimCall& call)
{
    m_driver->settle(call.request, *call.settledAs, call.answer);
}

void ClaimsRole::releaseLocally(const ClaimRequest& request)
{
    settleLocally({ request, RunState::NotRun, {} });
}

void ClaimsRole::rememberReleased(ForwardedClaim forwarded)
{
    const auto id = forwarded.request.request;
    m_releasedInOrder.push_back(id);
    m_released[id] = std::move(forwarded);
}

void ClaimsRole::forgetReleased(TimePoint now)
{
    while (!m_releasedInOrder.empty()) {
        const auto it = m_released.find(m_releasedInOrder.front());
        if (it != m_released.end()) {
            if (it->second.dueAt > now && m_released.size() <= maxReleased)
                return;
            // The owner may have granted the claim late and its response may have been lost.
            releaseLocally(it->second.request);
            m_released.erase(it);
        }
        m_releasedInOrder.pop_front();
    }
}

void ClaimsRole::onCall(const InstanceName& from, ClaimCall call)
{
    const auto respond = [self = shared_from_this(), from](ClaimReply response) { self->m_context.network.reply(from, std::move(response)); };
    if (!call.settledAs) {
        m_driver->claim(call.request, [respond](const ClaimDecided& decided) { respond({ decided, false }); });
        return;
    }
    settleLocally(call);
    respond({ { call.request.request, ClaimVerdict::Granted, RunState::Unknown, {} }, true });
}

void ClaimsRole::onResponse(const InstanceName& from, ClaimReply response)
{
    boost::asio::post(m_strand, [self = shared_from_this(), from, response = std::move(response)] {
        const auto& decided = response.decided;
        if (response.isSettled) {
            const auto it = self->m_unsettled.find(decided.request);
            if (it != self->m_unsettled.end() && it->second.owner == from)
                self->m_unsettled.erase(it);
            return self->update();
        }
        self->onDecided(from, decided);
        self->update();
    });
}

void ClaimsRole::onDecided(const InstanceName& owner, const ClaimDecided& decided)
{
    const bool isGranted = decided.verdict == ClaimVerdict::Granted;
    const auto released = m_released.find(decided.request);
    if (released != m_released.end() && released->second.owner == owner) {
        const auto request = released->second.request;
        m_released.erase(released);
        if (isGranted)
            releaseLateGrant(request, owner);
        return;
    }
    const auto it = m_forwarded.find(decided.request);
    if (it == m_forwarded.end() || it->second.owner != owner)
        return;
    const auto forwarded = std::move(it->second);
    m_forwarded.erase(it);
    if (isGranted && !forwarded.handler)
        return releaseLateGrant(forwarded.request, owner);
    if (isGranted)
        m_granted[decided.request] = { forwarded.request, owner };
    if (forwarded.handler)
        forwarded.handler(decided);
}

/// Releases the grant of a claim that this instance has already refused.
void ClaimsRole::releaseLateGrant(const ClaimRequest& request, const InstanceName& owner)
{
    {
        const std::lock_guard lock(m_countersMutex);
        ++m_counters.lateGrants;
    }
    m_granted[request.request] = { request, owner };
    settle(request.request, RunState::NotRun, {});
}

void ClaimsRole::onLinkLost(const InstanceName& peer)
{
    boost::asio::post(m_strand, [self = shared_from_this(), peer] {
        for (auto& [id, forwarded] : self->m_forwarded) {
            if (forwarded.owner == peer && forwarded.handler)
                self->refuse(forwarded);
        }
        // Recording an outcome is idempotent, so this instance records the outcomes that may have been lost with the link.
        std::erase_if(self->m_unsettled, [&](const auto& it) {
            if (it.second.owner != peer)
                return false;
            self->settleLocally(it.second.call);
            return true;
        });
        self->update();
    });
}

void ClaimsRole::onUndelivered(const ClaimCall& call)
{
    boost::asio::post(m_strand, [self = shared_from_this(), call] {
        if (call.settledAs) {
            if (self->m_unsettled.erase(call.request.request) > 0)
                self->settleLocally(call);
            return self->update();
        }
        auto found = self->m_forwarded.extract(call.request.request);
        if (found && found.mapped().handler) {
            {
                const std::lock_guard lock(self->m_countersMutex);
                ++self->m_counters.undelivered;
            }
            self->claimLocally(found.mapped().request, std::move(found.mapped().handler));
        }
        self->update();
    });
}

void ClaimsRole::checkDeadlines()
{
    const auto now = m_context.clock->now();
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        auto& forwarded = it->second;
        if (forwarded.dueAt <= now && forwarded.handler)
            refuse(forwarded);
        if (forwarded.dueAt > now) {
            ++it;
            continue;
        }
        releaseLocally(forwarded.request);
        forwarded.dueAt = now + m_times.lateGrantMemory;
        rememberReleased(std::move(forwarded));
        it = m_forwarded.erase(it);
    }
    forgetReleased(now);
    std::erase_if(m_unsettled, [&](const auto& it) {
        if (it.second.dueAt > now)
            return false;
        settleLocally(it.second.call);
        return true;
    });
    update();
}

void ClaimsRole::update()
{
    m_pending.store(m_forwarded.size() + m_unsettled.size(), std::memory_order_relaxed);
    TimePoint next = never;
    for (const auto& [id, forwarded] : m_forwarded)
        next = std::min(next, forwarded.dueAt);
    for (const auto& [id, unsettled] : m_unsettled)
        next = std::min(next, unsettled.dueAt);
    if (const auto it = m_releasedInOrder.empty() ? m_released.end() : m_released.find(m_releasedInOrder.front()); it != m_released.end())
        next = std::min(next, it->second.dueAt);
    m_timer.arm(next, [self = shared_from_this()] { self->checkDeadlines(); });
}

ClaimForwardCounters ClaimsRole::forwardCounters() const
{
    const std::lock_guard lock(m_countersMutex);
    return m_counters;
}

}
