#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/span.h"
#include "observe/trace_store.h"

#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <iostream>
#include <sstream>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Captures standard output during the object's lifetime.
class CapturedOutput {
public:
    CapturedOutput()
        : m_previousBuffer(std::cout.rdbuf(m_text.rdbuf()))
    {
    }
    ~CapturedOutput() { std::cout.rdbuf(m_previousBuffer); }
    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;
    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::streambuf* m_previousBuffer;
};

}

TEST_CASE("Log lines have the configured format" * doctest::test_suite("observe"))
{
    const CapturedOutput output;
    const std::vector<LogField> fields { { "server", "q3" }, { "why", "two\nlines \"quoted\"" } };
    SUBCASE("A JSON log line is one object")
    {
        setUpLogging(LogFormat::Json);
        logChange(LogLevel::Warning, "server drains", fields);
        const auto line = boost::json::parse(output.text()).as_object();
        CHECK(line.at("time_ms").as_int64() > 0);
        CHECK(line.at("level") == "warning");
        CHECK(line.at("event") == "server drains");
        CHECK(line.at("server") == "q3");
        CHECK(line.at("why") == "two\nlines \"quoted\"");
    }
    SUBCASE("A text log line quotes values with blanks, quotes or line breaks")
    {
        setUpLogging(LogFormat::Text);
        logChange(LogLevel::Error, "server drains", fields);
        const auto line = output.text();
        CHECK(line.find(" error server drains server=q3 why=\"two\\nlines \\\"quoted\\\"\"\n") != std::string::npos);
        CHECK(line.find('\n') == line.size() - 1);
    }
}

TEST_CASE("Metrics are rendered in the Prometheus text format" * doctest::test_suite("observe"))
{
    Metrics metrics;
    metrics.counter("lycheefield_legs_total{outcome=\"ok\"}").add(3);
    metrics.counter("lycheefield_legs_total{outcome=\"lost\"}").add();
    metrics.gauge("lycheefield_instances_alive", [] { return 9.0; });
    for (int i = 1; i <= 1000; ++i)
        metrics.latency("lycheefield_search_seconds").add(1ms * i);
    const auto text = metrics.render();
    CHECK(text.find("lycheefield_legs_total{outcome=\"ok\"} 3\n") != std::string::npos);
    CHECK(text.find("lycheefield_instances_alive 9\n") != std::string::npos);
    CHECK(text.find("lycheefield_search_seconds_count 1000\n") != std::string::npos);

    SUBCASE("A metric with two label sets has one TYPE line")
    {
        const auto first = text.find("# TYPE lycheefield_legs_total");
        CHECK(first != std::string::npos);
        CHECK(text.find("# TYPE lycheefield_legs_total", first + 1) == std::string::npos);
    }
    SUBCASE("Gauges of large whole numbers are rendered with all digits")
    {
        metrics.gauge("lycheefield_store_revision", [] { return 123456789012345.0; });
        metrics.gauge("lycheefield_descriptor_limit", [] { return 1048576.0; });
        metrics.gauge("lycheefield_share", [] { return 0.1; });
        const auto page = metrics.render();
        CHECK(page.find("lycheefield_store_revision 123456789012345\n") != std::string::npos);
        CHECK(page.find("lycheefield_descriptor_limit 1048576\n") != std::string::npos);
        CHECK(page.find("lycheefield_share 0.1\n") != std::string::npos);
    }
    SUBCASE("The quantiles of uniformly distributed durations are close to the exact values")
    {
        const auto values = metrics.latency("lycheefield_search_seconds").values();
        CHECK(values.p50 > 450ms);
        CHECK(values.p50 < 550ms);
        CHECK(values.p99 > 960ms);
        CHECK(values.p99 <= 1000ms);
    }
}

TEST_CASE("A traceparent header is parsed and formatted; a malformed header yields no trace id" * doctest::test_suite("observe"))
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const auto parent = TraceParent::parse(header);
    CHECK(parent.traceId == "4bf92f3577b34da6a3ce929d0e0e4736");
    CHECK(parent.toString() == header);
    CHECK(TraceParent::parse("00-xyz").traceId.empty());
    CHECK(TraceParent::parse("00-00000000000000000000000000000000-00f067aa0ba902b7-01").traceId.empty());
}

TEST_CASE("The trace store keeps the newest traces in bounded memory" * doctest::test_suite("observe"))
{
    TraceStore store(2, 1);
    const RequestId first { ProcessLife(1), 1 };
    const RequestId second { ProcessLife(1), 2 };
    const RequestId third { ProcessLife(1), 3 };
    store.begin(first, "a");
    store.begin(second, "b");
    store.begin(third, "c");
    CHECK_FALSE(store.find(first));
    REQUIRE(store.find(third));

    SUBCASE("The trace store counts and drops the spans above the limit")
    {
        store.addSpan(third, Span { SpanId(1), SpanId(0), "entry", TimePoint(1ms), TimePoint(2ms), { { "legs", "20" } } });
        store.addSpan(third, Span {});
        CHECK(store.find(third)->spans.size() == 1);
        CHECK(store.find(third)->droppedSpans == 1);
        const auto otlp = toOtlpJson(*store.find(third), "i0");
        CHECK(otlp.find("\"name\":\"entry\"") != std::string::npos);
        CHECK(otlp.find("\"traceId\":\"c\"") != std::string::npos);
    }
    SUBCASE("The trace store ignores a span of an evicted trace")
    {
        store.addSpan(first, Span {});
        CHECK_FALSE(store.find(first));
    }
}

}
