#pragma once

#include "admission/quota_engine.h"
#include "base/clock.h"
#include "gateway/search_delegation.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"
#include "routing/team_directory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstdint>
#include <functional>
#include <set>

namespace lycheefield {

/// Receives what the quotas decide about requests. Called on the strand, also from within QuotaDriver::onRequest().
class QuotaDecisionEvents {
public:
    virtual ~QuotaDecisionEvents() = default;
    virtual void onWithinQuota(RequestNumber) = 0;
    virtual void onQuotaRefused(RequestNumber, QuotaRefusal, Duration retryAfter) = 0;
};

/// This instance's object in the store, and the store's list of the instances. Called on the gateway's executor.
class InstanceRegistry {
public:
    virtual ~InstanceRegistry() = default;
    /// Reads the latest list soon, beside the periodic ones.
    virtual void listInstances() = 0;
    /// Writes the object soon unless it has been written with what this process declares now; reads the latest list once a new role is declared.
    virtual void declareRoles() = 0;
    /// Writes the object for the last time, to say that this process has ended. Calls the handler once, with whether the store has it.
    virtual void recordEnd(std::function<void(bool)>) = 0;
    /// Another instance's process of this life has ended and could not say so in the store: writes its object for it.
    virtual void recordEndOf(const InstanceName&, ProcessLife) = 0;
};

/// Runs a QuotaEngine: exchanges its messages with the other instances and reports its decisions. All functions are called on the strand.
class QuotaDriver final : public QuotaMessageEvents {
public:
    /// Preconditions: strand, clock, events, metrics and log outlive the driver.
    QuotaDriver(boost::asio::strand<boost::asio::io_context::executor_type>&, const Clock&, QuotaDecisionEvents&, Metrics&, DecisionLog&, const InstanceName& self, const AdmissionSettings&);

    /// Lets the driver exchange messages. Precondition: called before any request; the delegation outlives the driver's use.
    void setDelegation(SearchDelegation&);
    /// Replaces the teams; null: there are none.
    void setTeams(const TeamDirectory*);
    /// See QuotaEngine::setInstances().
    void setInstances(const InstanceListing&);
    /// See QuotaEngine::setGone().
    void setGone(const std::set<InstanceName>&);
    /// See QuotaEngine::onObjectLost().
    void onObjectLost();
    bool needsLatestListing() const { return m_engine.needsLatestListing(); }
    RoleDeclaration declaration() const { return m_engine.declaration(); }
    /// Precondition: the registry outlives the driver's use.
    void setInstanceRegistry(InstanceRegistry& registry) { m_registry = &registry; }
    /// This process is about to end: others take over its roles.
    void resign();
    /// This process ends. Precondition: resign() was called.
    void end();
    /// Tells the other instances that this process ends and that the store doesn't know it.
    void announceEnd();

    void onRequest(RequestNumber, const TeamName&);
    void onCancel(RequestNumber number, const TeamName& team) { m_engine.onCancel(number, team); }
    void onQuotaCall(const InstanceName& from, const QuotaCall&) override;
    void onQuotaReply(const InstanceName& from, const QuotaReply&) override;
    void onQuotaCallUndelivered(std::uint64_t sequence, UndeliveredReason) override;
    void onRoleClaim(const InstanceName& from, const RoleClaim&) override;
    void onRoleClaimReply(const InstanceName& from, const RoleClaimReply&) override;
    void onRoleResignation(const InstanceName& from, const RoleResignation&) override;

private:
    /// Calls the engine and executes the actions that it returns.
    template <typename Call>
    void callEngine(Call call)
    {
        QuotaActions actions;
        call(m_clock.now(), actions);
        execute(actions);
    }
    void execute(const QuotaActions&);
    void execute(const AskKeeper&);
    void execute(const AnswerCall&);
    void execute(const AdmitRequest& admitted) { m_events.onWithinQuota(admitted.number); }
    void execute(const RefuseRequest& refused) { m_events.onQuotaRefused(refused.number, refused.why, refused.retryAfter); }
    void execute(const SendClaim&);
    void execute(const AnswerClaim&);
    void execute(const AnnounceResignation&);
    void execute(const ListInstances&);
    void execute(const DeclareRoles&);
    void execute(const ReportRole&);
    void execute(const ReportRoleWait&);
    /// Whether another line about roles may be written during these actions; writes one that says so in place of the last.
    bool mayWriteRoleLine();
    /// Opens connections to the instances that keep quotas, so that no request waits for one.
    void connectToKeepers();
    void setTimer();

    const Clock& m_clock;
    QuotaDecisionEvents& m_events;
    DecisionLog& m_log;
    SearchDelegation* m_delegation = nullptr;
    InstanceRegistry* m_registry = nullptr;
    QuotaEngine m_engine;
    boost::asio::steady_timer m_timer;
    TimePoint m_timerAt = never;
    std::uint32_t m_roleLinesLeft = 0; ///< Of the actions being executed.
    std::set<InstanceName> m_connected; ///< Keepers to which a connection has been opened.
};

}
