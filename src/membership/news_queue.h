#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace lycheefield {

/// Names of members with news about them, and how often each was passed on. The news told least
/// often go first; after enough tellings they are dropped. Not thread safe.
class NewsQueue {
public:
    /// There are news about this member; earlier news about it count no longer.
    void add(const InstanceName&);
    /// Takes at most `limit` names, counts each as told once more, and drops those told `maxTold` times.
    std::vector<InstanceName> take(std::size_t limit, std::uint32_t maxTold);
    std::size_t size() const { return m_news.size(); }

private:
    struct News {
        InstanceName name;
        std::uint32_t told = 0;
    };

    std::vector<News> m_news;
};

}
