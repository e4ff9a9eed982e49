#include "membership/view.h"

namespace lycheefield {

MembershipView::MembershipView(const std::vector<Instance>& instances)
{
    for (const auto& it : instances)
        m_instances.emplace(it.name, it);
}

const Instance* MembershipView::find(const InstanceName& name) const
{
    const auto it = m_instances.find(name);
    return it == m_instances.end() ? nullptr : &it->second;
}

const Instance* MembershipView::findLife(ProcessLife life) const
{
    for (const auto& [name, instance] : m_instances) {
        if (instance.life == life)
            return &instance;
    }
    return nullptr;
}

}
