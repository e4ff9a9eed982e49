#include "daemon/trace_tree.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>

namespace lycheefield {

namespace {

/// Column at which the times start; longer names push them to the right.
constexpr int nameColumns = 64;

class TreeRenderer {
public:
    explicit TreeRenderer(const Trace& trace)
        : m_trace(trace)
    {
        std::set<SpanId> ids;
        for (const auto& it : trace.spans)
            ids.insert(it.id);
        for (const auto& it : trace.spans)
            m_children[ids.contains(it.parent) ? it.parent : SpanId()].push_back(&it);
        for (auto& [parent, children] : m_children)
            std::stable_sort(children.begin(), children.end(), [](const Span* a, const Span* b) { return a->start < b->start; });
    }

    std::string draw()
    {
        m_out = "trace " + m_trace.traceId + "\n";
        if (m_trace.spans.empty())
            return m_out;
        m_start = m_trace.spans.front().start;
        std::string indent;
        if (m_trace.spans.front().parent != SpanId()) {
            m_out += "caller (its own span)\n";
            indent = " ";
        }
        drawChildren(SpanId(), indent);
        return m_out;
    }

private:
    void drawChildren(SpanId parent, const std::string& indent)
    {
        const auto it = m_children.find(parent);
        if (it == m_children.end())
            return;
        for (const auto* span : it->second) {
            const bool isLast = span == it->second.back();
            drawLine(*span, indent + (isLast ? "`- " : "|- "));
            drawChildren(span->id, indent + (isLast ? "   " : "|  "));
        }
    }

    void drawLine(const Span& span, const std::string& indent)
    {
        std::string text = indent + span.name;
        for (const auto& [key, value] : span.attributes) {
            if (!value.empty())
                text.append(" ").append(key).append("=").append(value);
        }
        text.resize(std::max<std::size_t>(text.size(), nameColumns), ' ');
        const auto millis = [](Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); };
        std::array<char, 64> buf {};
        std::snprintf(buf.data(), buf.size(), "  at %8.3f ms  for %8.3f ms\n", millis(span.start - m_start), millis(span.end - span.start));
        m_out += text + buf.data();
    }

    const Trace& m_trace;
    std::map<SpanId, std::vector<const Span*>> m_children;
    TimePoint m_start;
    std::string m_out;
};

}

std::string drawTrace(const Trace& trace)
{
    return TreeRenderer(trace).draw();
}

}
