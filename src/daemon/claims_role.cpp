#include "daemon/claims_role.h"

#include "base/fingerprint.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Claims remembered for their late grants; the oldest gives way.
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
            self->claimHere(request, std::move(handler));
        else
            self->ask(request, std::move(handler), owner);
    });
}

void ClaimsRole::claimHere(const ClaimRequest& request, Handler handler)
{
    m_driver->claim(request, [self = shared_from_this(), request, handler = std::move(handler)](const ClaimDecided& decided) {
        boost::asio::post(self->m_strand, [self, request, decided, handler] {
            if (decided.verdict == ClaimVerdict::Granted)
                self->m_granted[request.request] = { request, self->m_self };
            handler(decided);
        });
    });
}

void ClaimsRole::ask(const ClaimRequest& request, Handler handler, const InstanceName& owner)
{
    m_asked[request.request] = { request, std::move(handler), owner, request.deadline };
    {
        const std::lock_guard lock(m_countersMutex);
        ++m_counters.asked;
    }
    m_context.network.send(owner, ClaimCall { request, std::nullopt, {} });
    update();
}

/// Precondition: not refused yet.
void ClaimsRole::refuse(Asked& asked)
{
    {
        const std::lock_guard lock(m_countersMutex);
        ++m_counters.unanswered;
    }
    asked.until = asked.request.deadline + m_times.decisionMargin;
    const auto handler = std::exchange(asked.handler, nullptr);
    handler({ asked.request.request, ClaimVerdict::StoreUnavailable, RunState::Unknown, {} });
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
        return settleHere(call);
    m_unsettled[request] = { call, granted.owner, m_context.clock->now() + m_times.settleTimeout };
    m_context.network.send(granted.owner, std::move(call));
    update();
}

void ClaimsRole::settleHere(const ClaimCall& call)
{
    m_driver->settle(call.request, *call.settledAs, call.answer);
}

void ClaimsRole::releaseHere(const ClaimRequest& request)
{
    settleHere({ request, RunState::NotRun, {} });
}

void ClaimsRole::rememberReleased(Asked asked)
{
    const auto id = asked.request.request;
    m_releasedInOrder.push_back(id);
    m_released[id] = std::move(asked);
}

void ClaimsRole::forgetReleased(TimePoint now)
{
    while (!m_releasedInOrder.empty()) {
        const auto it = m_released.find(m_releasedInOrder.front());
        if (it != m_released.end()) {
            if (it->second.until > now && m_released.size() <= maxReleased)
                return;
            // The owner may have claimed it late and its grant been lost.
            releaseHere(it->second.request);
            m_released.erase(it);
        }
        m_releasedInOrder.pop_front();
    }
}

void ClaimsRole::onCall(const InstanceName& from, ClaimCall call)
{
    const auto answer = [self = shared_from_this(), from](ClaimReply reply) { self->m_context.network.reply(from, std::move(reply)); };
    if (!call.settledAs) {
        m_driver->claim(call.request, [answer](const ClaimDecided& decided) { answer({ decided, false }); });
        return;
    }
    settleHere(call);
    answer({ { call.request.request, ClaimVerdict::Granted, RunState::Unknown, {} }, true });
}

void ClaimsRole::onResponse(const InstanceName& from, ClaimReply reply)
{
    boost::asio::post(m_strand, [self = shared_from_this(), from, reply = std::move(reply)] {
        const auto& decided = reply.decided;
        if (reply.isSettled) {
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
            giveBack(request, owner);
        return;
    }
    const auto it = m_asked.find(decided.request);
    if (it == m_asked.end() || it->second.owner != owner)
        return;
    const auto asked = std::move(it->second);
    m_asked.erase(it);
    if (isGranted && !asked.handler)
        return giveBack(asked.request, owner);
    if (isGranted)
        m_granted[decided.request] = { asked.request, owner };
    if (asked.handler)
        asked.handler(decided);
}

/// A claim that was refused here is granted after all.
void ClaimsRole::giveBack(const ClaimRequest& request, const InstanceName& owner)
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
        for (auto& [id, asked] : self->m_asked) {
            if (asked.owner == peer && asked.handler)
                self->refuse(asked);
        }
        // Records may be repeated: what was lost with the link is written here.
        std::erase_if(self->m_unsettled, [&](const auto& it) {
            if (it.second.owner != peer)
                return false;
            self->settleHere(it.second.call);
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
                self->settleHere(call);
            return self->update();
        }
        auto found = self->m_asked.extract(call.request.request);
        if (found && found.mapped().handler) {
            {
                const std::lock_guard lock(self->m_countersMutex);
                ++self->m_counters.undelivered;
            }
            self->claimHere(found.mapped().request, std::move(found.mapped().handler));
        }
        self->update();
    });
}

void ClaimsRole::checkTimes()
{
    const auto now = m_context.clock->now();
    for (auto it = m_asked.begin(); it != m_asked.end();) {
        auto& asked = it->second;
        if (asked.until <= now && asked.handler)
            refuse(asked);
        if (asked.until > now) {
            ++it;
            continue;
        }
        releaseHere(asked.request);
        asked.until = now + m_times.lateGrantMemory;
        rememberReleased(std::move(asked));
        it = m_asked.erase(it);
    }
    forgetReleased(now);
    std::erase_if(m_unsettled, [&](const auto& it) {
        if (it.second.until > now)
            return false;
        settleHere(it.second.call);
        return true;
    });
    update();
}

void ClaimsRole::update()
{
    m_pending.store(m_asked.size() + m_unsettled.size(), std::memory_order_relaxed);
    TimePoint next = never;
    for (const auto& [id, asked] : m_asked)
        next = std::min(next, asked.until);
    for (const auto& [id, unsettled] : m_unsettled)
        next = std::min(next, unsettled.until);
    if (const auto it = m_releasedInOrder.empty() ? m_released.end() : m_released.find(m_releasedInOrder.front()); it != m_released.end())
        next = std::min(next, it->second.until);
    m_timer.arm(next, [self = shared_from_this()] { self->checkTimes(); });
}

ClaimForwardCounters ClaimsRole::forwardCounters() const
{
    const std::lock_guard lock(m_countersMutex);
    return m_counters;
}

}
