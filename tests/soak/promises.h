#pragma once

#include "base/time.h"
#include "http/http_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheefield::soak {

/// One request that a caller of the soak sends.
struct Attempt {
    std::string id;
    std::string gateway;
    std::string method;
    std::string target;
    std::string body;
    bool isSearch = false;
    bool isIdempotent = true;
    std::optional<bool> isRouted; ///< Whether the configuration in force has its route; empty: either may hold.

    friend bool operator==(const Attempt&, const Attempt&) = default;
};

/// How it ended for its caller.
struct AttemptEnd {
    bool isAnswered = false; ///< False: the connection ended.
    HttpResponse reply;
    bool isBroken = false; ///< The caller's gateway was being stopped and nothing else was wrong with it.

    friend bool operator==(const AttemptEnd&, const AttemptEnd&) = default;
};

/// One time that a backend server began to work on a request.
struct Run {
    std::string service;
    std::string server;
    std::string signature;
    std::string attemptId;
    std::string method;
    std::string target;
    std::string requestBody;
    std::string body; ///< Of its answer.
    unsigned status = 200;

    friend bool operator==(const Run&, const Run&) = default;
};

/// Checks what callers and servers saw against what they are promised. No I/O.
class Promises {
public:
    Promises(std::set<std::string> shards, std::size_t topRecords, std::size_t maxRuns, std::size_t minShards);

    void onSent(const Attempt&);
    void onEnd(const std::string& id, const AttemptEnd&);
    void onRun(const Run&);
    void fail(const std::string& what) { ++m_broken[what]; }
    /// Once nothing is under way any more.
    void checkAll();

    const std::map<std::string, std::size_t>& broken() const { return m_broken; }
    std::size_t answers() const { return m_answers; }
    std::size_t successes() const { return m_successes; }
    std::size_t checks() const { return m_checks; }

private:
    struct Known {
        Attempt attempt;
        std::vector<Run> runs;
        AttemptEnd end;
        bool isOver = false;
    };

    void expect(bool holds, const std::string& what, const Known&);
    void checkSuccess(const Known&);
    void checkSearch(const Known&);
    void checkRuns(const Known&);

    std::set<std::string> m_shards;
    std::size_t m_topRecords;
    std::size_t m_maxRuns;
    std::size_t m_leastShards;
    std::map<std::string, Known> m_attempts;
    std::map<std::string, std::size_t> m_broken;
    std::size_t m_answers = 0;
    std::size_t m_successes = 0;
    std::size_t m_checks = 0;
};

}
