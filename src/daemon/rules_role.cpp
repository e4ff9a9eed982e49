#include "daemon/rules_role.h"

#include "observe/log.h"
#include "rules/rule_parser.h"
#include "rules/stored_rules.h"

namespace lycheefield {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(50);
constexpr Duration longestBackoff = std::chrono::seconds(5);

}

RulesRole::RulesRole(const boost::asio::any_io_executor& executor, std::shared_ptr<ObjectStore> store, SharedTables& tables, TablePublisher& publisher)
    : m_executor(executor)
    , m_store(std::move(store))
    , m_tables(tables)
    , m_publisher(publisher)
{
}

void RulesRole::start()
{
    Backoff backoff(firstBackoff, longestBackoff, std::make_unique<SeededRandom>(systemSeed()));
    m_watcher = std::make_shared<StoreWatcher>(
        m_executor, m_store, currentRulesKey, [self = shared_from_this()](const WatchBatch& batch) { self->onBatch(batch); }, std::move(backoff));
    m_watcher->start();
}

void RulesRole::stop()
{
    if (m_watcher)
        m_watcher->stop();
}

void RulesRole::onBatch(const WatchBatch& batch)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& it : batch.changed) {
        const auto stored = parseStoredRules(it.value);
        if (!stored || stored.value().revision <= m_tables.rules.read()->revision())
            continue;
        auto parsed = parseRules(stored.value().text, stored.value().revision);
        if (auto* table = std::get_if<RuleTable>(&parsed)) {
            logChange(LogLevel::Info, "rules in force", { { "revision", std::to_string(stored.value().revision.value()) } });
            m_publisher.publishRules(std::move(*table));
        } else {
            logChange(LogLevel::Error, "stored rules have errors; the revision before stays in force", { { "revision", std::to_string(stored.value().revision.value()) } });
        }
    }
}

}
