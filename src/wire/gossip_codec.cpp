#include "wire/gossip_codec.h"

#include "wire/generated/inner_types.h"

#include <algorithm>
#include <limits>

namespace lycheefield {

namespace {

/// No instance sends more digests than this in one message.
constexpr std::size_t maxDigestsPerMessage = 256;

Error outOfRange(const char* field)
{
    return Error { ErrorKind::InvalidInput, std::string("message from a peer has an invalid ") + field, "run the same release on all instances" };
}

bool isPort(std::int32_t port)
{
    return port >= 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

bool isHealth(std::int32_t health)
{
    return health >= 0 && health <= static_cast<std::int32_t>(InstanceHealth::Gone);
}

wire::InstanceDigest digestToWire(const MemberDigest& digest)
{
    wire::InstanceDigest out;
    out.name = digest.name.value();
    out.life = static_cast<std::int64_t>(digest.life.value());
    out.incarnation = static_cast<std::int64_t>(digest.incarnation);
    out.health = static_cast<std::int32_t>(digest.health);
    if (!digest.address)
        return out;
    out.__set_innerAddress(digest.address->inner.address);
    out.__set_innerPort(digest.address->inner.port);
    if (digest.address->http.address != digest.address->inner.address)
        out.__set_httpAddress(digest.address->http.address);
    out.__set_httpPort(digest.address->http.port);
    out.__set_zone(digest.address->zone.value());
    return out;
}

Result<MemberDigest> digestFromWire(const wire::InstanceDigest& in)
{
    if (in.name.empty() || in.incarnation < 0 || !isHealth(in.health))
        return outOfRange("name, incarnation or health in an instance digest");
    MemberDigest digest;
    digest.name = InstanceName(in.name);
    digest.life = ProcessLife(static_cast<std::uint64_t>(in.life));
    digest.incarnation = static_cast<std::uint64_t>(in.incarnation);
    digest.health = static_cast<InstanceHealth>(in.health);
    if (!in.__isset.innerAddress)
        return digest;
    if (!isPort(in.innerPort) || !isPort(in.httpPort))
        return outOfRange("port in an instance digest");
    const auto& http = in.__isset.httpAddress ? in.httpAddress : in.innerAddress;
    digest.address = MemberAddress { { in.innerAddress, static_cast<std::uint16_t>(in.innerPort) }, { http, static_cast<std::uint16_t>(in.httpPort) }, ZoneName(in.zone) };
    return digest;
}

}

wire::Gossip toWire(const GossipMessage& message)
{
    wire::Gossip out;
    out.sequence = static_cast<std::int64_t>(message.sequence);
    out.isAnswer = message.isAnswer;
    for (const auto& it : message.digests)
        out.digests.push_back(digestToWire(it));
    out.ruleRevision = static_cast<std::int64_t>(message.ruleRevision.value());
    if (message.probeTarget)
        out.__set_probeTarget(message.probeTarget->value());
    return out;
}

Result<GossipMessage> fromWire(const wire::Gossip& in)
{
    if (in.sequence < 0 || in.ruleRevision < 0 || in.digests.size() > maxDigestsPerMessage)
        return outOfRange("sequence, rule revision or number of digests");
    GossipMessage message;
    message.sequence = static_cast<std::uint64_t>(in.sequence);
    message.isAnswer = in.isAnswer;
    message.ruleRevision = RuleRevision(static_cast<std::uint64_t>(in.ruleRevision));
    if (in.__isset.probeTarget)
        message.probeTarget = InstanceName(in.probeTarget);
    for (const auto& it : in.digests) {
        auto digest = digestFromWire(it);
        if (!digest)
            return digest.error();
        message.digests.push_back(std::move(digest).value());
    }
    return message;
}

wire::RuleDelta toWire(const RuleDelta& delta)
{
    wire::RuleDelta out;
    out.baseRevision = static_cast<std::int64_t>(delta.base.value());
    out.revision = static_cast<std::int64_t>(delta.revision.value());
    out.removedLines.assign(delta.removedLines.begin(), delta.removedLines.end());
    for (const auto& it : delta.addedLines) {
        out.addedAt.push_back(static_cast<std::int32_t>(it.at));
        out.addedLines.push_back(it.text);
    }
    out.resultHash = static_cast<std::int64_t>(delta.resultHash);
    return out;
}

Result<RuleDelta> fromWire(const wire::RuleDelta& in)
{
    if (in.baseRevision < 0 || in.revision <= 0 || in.addedAt.size() != in.addedLines.size())
        return outOfRange("revision or number of added lines in a rule delta");
    const auto isNegative = [](std::int32_t line) { return line < 0; };
    if (std::any_of(in.removedLines.begin(), in.removedLines.end(), isNegative) || std::any_of(in.addedAt.begin(), in.addedAt.end(), isNegative))
        return outOfRange("line number in a rule delta");
    RuleDelta delta;
    delta.base = RuleRevision(static_cast<std::uint64_t>(in.baseRevision));
    delta.revision = RuleRevision(static_cast<std::uint64_t>(in.revision));
    for (const auto it : in.removedLines)
        delta.removedLines.push_back(static_cast<std::uint32_t>(it));
    for (std::size_t i = 0; i < in.addedAt.size(); ++i)
        delta.addedLines.push_back({ static_cast<std::uint32_t>(in.addedAt[i]), in.addedLines[i] });
    delta.resultHash = static_cast<std::uint64_t>(in.resultHash);
    return delta;
}

}
