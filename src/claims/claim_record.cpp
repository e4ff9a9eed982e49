#include "claims/claim_record.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace lycheefield {

namespace {

constexpr int hexadecimal = 16;
constexpr char firstPrintable = ' ';
constexpr char lastPrintable = '~';
constexpr std::size_t escapeLength = 4; // \xHH

/// Escapes non-printable bytes, blanks and the backslash.
std::string escape(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(text.size());
    for (const char c : text) {
        if (c > firstPrintable && c <= lastPrintable && c != '\\') {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += "\\x";
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

template <typename T>
std::optional<T> parseHex(std::string_view text)
{
    T value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::string> unescape(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '\\') {
            out += text[i];
            continue;
        }
        const auto escaped = text.substr(i, escapeLength);
        const auto byte = parseHex<std::uint8_t>(escaped.size() == escapeLength ? escaped.substr(2) : std::string_view {});
        if (escaped.substr(0, 2) != "\\x" || !byte)
            return std::nullopt;
        out += static_cast<char>(*byte);
        i += escapeLength - 1;
    }
    return out;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> buf {};
    std::snprintf(buf.data(), buf.size(), "%llx", static_cast<unsigned long long>(value));
    return buf.data();
}

/// Removes the text before the next blank, and the blank, from the front and returns the text.
std::string_view takeField(std::string_view& rest)
{
    const auto end = rest.find(' ');
    const auto field = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end + 1);
    return field;
}

constexpr std::string_view stateCodes = "rnu"; // In the order of RunState.

bool parseClaimFields(std::string_view rest, ClaimRecord& record)
{
    const auto fingerprint = parseHex<std::uint64_t>(takeField(rest));
    const auto seconds = parseHex<std::int64_t>(takeField(rest));
    if (!fingerprint || !seconds || !rest.empty())
        return false;
    record.fingerprint = Fingerprint(*fingerprint);
    record.storeSeconds = *seconds;
    return true;
}

bool parseOutcomeFields(std::string_view rest, ClaimRecord& record)
{
    const auto code = takeField(rest);
    const auto state = code.size() == 1 ? stateCodes.find(code) : std::string_view::npos;
    auto answer = unescape(rest);
    if (state == std::string_view::npos || !answer)
        return false;
    record.state = static_cast<RunState>(state);
    record.answer = std::move(*answer);
    return true;
}

}

std::string toLine(const ClaimRecord& record)
{
    const std::string keyAndToken = ' ' + escape(record.key.value()) + ' ' + record.token.toString();
    switch (record.kind) {
    case ClaimRecordKind::Claim:
        return 'C' + keyAndToken + ' ' + toHex(record.fingerprint.value()) + ' ' + toHex(static_cast<std::uint64_t>(record.storeSeconds)) + '\n';
    case ClaimRecordKind::Outcome:
        return 'O' + keyAndToken + ' ' + stateCodes[static_cast<std::size_t>(record.state)] + ' ' + escape(record.answer) + '\n';
    case ClaimRecordKind::Release:
        break;
    }
    return 'R' + keyAndToken + '\n';
}

std::optional<ClaimRecord> parseClaimRecord(std::string_view line)
{
    const auto code = takeField(line);
    auto key = unescape(takeField(line));
    const auto token = RequestId::parse(takeField(line));
    if (!key || !token)
        return std::nullopt;
    ClaimRecord record;
    record.key = IdempotencyKey(std::move(*key));
    record.token = *token;
    if (code == "C") {
        record.kind = ClaimRecordKind::Claim;
        return parseClaimFields(line, record) ? std::optional(record) : std::nullopt;
    }
    if (code == "O") {
        record.kind = ClaimRecordKind::Outcome;
        return parseOutcomeFields(line, record) ? std::optional(record) : std::nullopt;
    }
    record.kind = ClaimRecordKind::Release;
    return code == "R" && line.empty() ? std::optional(record) : std::nullopt;
}

std::optional<std::vector<ClaimRecord>> parseClaimRecords(std::string_view body)
{
    std::vector<ClaimRecord> records;
    while (!body.empty()) {
        const auto end = body.find('\n');
        if (end == std::string_view::npos)
            return std::nullopt;
        auto record = parseClaimRecord(body.substr(0, end));
        if (!record)
            return std::nullopt;
        records.push_back(std::move(*record));
        body.remove_prefix(end + 1);
    }
    return records;
}

std::optional<KeyState> afterRecord(std::optional<KeyState> state, const ClaimRecord& record)
{
    switch (record.kind) {
    case ClaimRecordKind::Claim:
        return state ? state : KeyState { record.token, record.fingerprint, false, RunState::Unknown, {} };
    case ClaimRecordKind::Outcome:
        if (state && state->token == record.token) {
            state->hasOutcome = true;
            state->state = record.state;
            state->answer = record.answer;
        }
        return state;
    case ClaimRecordKind::Release:
        if (state && state->token == record.token)
            return std::nullopt;
        return state;
    }
    return state;
}

}
