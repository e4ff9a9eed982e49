#include "membership/news_queue.h"

#include <algorithm>

namespace lycheefield {

void NewsQueue::add(const InstanceName& name)
{
    const auto it = std::find_if(m_news.begin(), m_news.end(), [&](const auto& news) { return news.name == name; });
    if (it == m_news.end())
        m_news.push_back({ name, 0 });
    else
        it->told = 0;
}

std::vector<InstanceName> NewsQueue::take(std::size_t limit, std::uint32_t maxTold)
{
    std::stable_sort(m_news.begin(), m_news.end(), [](const auto& a, const auto& b) { return a.told < b.told; });
    std::vector<InstanceName> names;
    for (std::size_t i = 0; i < std::min(limit, m_news.size()); ++i) {
        ++m_news[i].told;
        names.push_back(m_news[i].name);
    }
    std::erase_if(m_news, [&](const auto& news) { return news.told >= maxTold; });
    return names;
}

}
