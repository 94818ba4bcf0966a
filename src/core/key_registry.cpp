// SPDX-License-Identifier: MIT
#include "fordwood/key_registry.hpp"

#include <algorithm>
#include <cctype>

namespace fordwood {

namespace {

constexpr std::size_t kUuidLength = 36;

int hexValue(char it)
{
    if (it >= '0' && it <= '9')
        return it - '0';
    if (it >= 'a' && it <= 'f')
        return it - 'a' + 10;
    if (it >= 'A' && it <= 'F')
        return it - 'A' + 10;
    return -1;
}

bool isDashPosition(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

} // namespace

std::optional<WallTime> issueTimeOf(const std::string &uuid)
{
    constexpr std::size_t kVersionPosition = 14;
    constexpr std::size_t kVariantPosition = 19;
    constexpr std::size_t kTimeEnd = 13; // twelve digits and a dash
    if (uuid.size() != kUuidLength)
        return std::nullopt;
    std::int64_t time = 0;
    for (std::size_t it = 0; it < uuid.size(); ++it) {
        if (isDashPosition(it) != (uuid[it] == '-'))
            return std::nullopt;
        if (isDashPosition(it))
            continue;
        const int value = hexValue(uuid[it]);
        if (value < 0)
            return std::nullopt;
        if (it < kTimeEnd)
            time = time * 16 + value;
    }
    const int variant = hexValue(uuid[kVariantPosition]);
    if (uuid[kVersionPosition] != '7' || variant < 8 || variant > 11)
        return std::nullopt;
    return WallTime(std::chrono::milliseconds(time));
}

KeyRegistry::KeyRegistry(KeyHolder self, const Clock &clock, Limits limits)
    : m_self(std::move(self)), m_clock(clock), m_limits(limits)
{ }

void KeyRegistry::setChain(std::uint32_t partition, const TenureChain &chain)
{
    TenureChain &known = m_chains[partition];
    if (known.empty() || (!chain.empty() && chain.back().until >= known.back().until))
        known = chain;
}

void KeyRegistry::setLiveMembers(std::map<std::string, std::uint64_t> bootByNode)
{
    m_bootByNode = std::move(bootByNode);
}

ClaimAnswer KeyRegistry::claim(ClaimantId claimant, const IdempotencyKey &key)
{
    const Id id{key.team, key.text};
    const auto known = m_entries.find(id);
    if (known != m_entries.end())
        return answerRepeat(known->second);
    const auto chain = m_chains.find(keyPartition(key.team, key.text));
    if (chain == m_chains.end() || chain->second.empty()
        || key.issued >= chain->second.back().until)
        return refuse(Reason::KeyTooNew);
    const auto tenure = std::find_if(chain->second.begin(), chain->second.end(),
                                     [&](const Tenure &it) { return it.covers(key.issued); });
    if (tenure == chain->second.end() || key.issued < m_floor)
        return refuse(Reason::KeyTooOld);
    if (tenure->holder == m_self && m_closed)
        return refuse(Reason::KeyHolderGone);
    if (tenure->holder == m_self) {
        remember(id, Entry{State::Running, claimant, key.issued, std::nullopt});
        ClaimAnswer answer;
        answer.decision = ClaimAnswer::Decision::Run;
        return answer;
    }
    const auto alive = m_bootByNode.find(tenure->holder.node);
    if (alive == m_bootByNode.end() || alive->second != tenure->holder.boot)
        return refuse(Reason::KeyHolderGone);
    ClaimAnswer answer;
    answer.decision = ClaimAnswer::Decision::Redirect;
    answer.holder = tenure->holder.node;
    return answer;
}

void KeyRegistry::finish(ClaimantId claimant, const IdempotencyKey &key, RunState state,
                         StoredAnswer answer)
{
    const auto it = m_entries.find({key.team, key.text});
    if (it == m_entries.end() || it->second.claimant != claimant
        || it->second.state != State::Running)
        return;
    if (state == RunState::NotRun)
        return forget(it->first);
    it->second.state = state == RunState::Ran ? State::Ran : State::MayHaveRun;
    if (state == RunState::Ran && answer.status != 0
        && m_answerBytes + answer.body.size() <= m_limits.maxAnswerBytes) {
        m_answerBytes += answer.body.size();
        it->second.answer = std::move(answer);
    }
}

void KeyRegistry::dropClaimant(ClaimantId claimant)
{
    for (auto &[id, it] : m_entries) {
        if (it.claimant == claimant && it.state == State::Running)
            it.state = State::MayHaveRun;
    }
}

HandedKeys KeyRegistry::close()
{
    m_closed = true;
    HandedKeys exported;
    exported.floor = m_floor;
    for (const auto &[id, it] : m_entries) {
        const RunState state = it.state == State::Ran ? RunState::Ran : RunState::MayHaveRun;
        exported.keys.push_back({{id.first, id.second, it.issued}, state, it.answer});
    }
    return exported;
}

void KeyRegistry::importKeys(const HandedKeys &exported)
{
    m_floor = std::max(m_floor, exported.floor);
    for (const HandedKey &it : exported.keys) {
        const Id id{it.key.team, it.key.text};
        if (m_entries.count(id) != 0)
            continue; // already imported
        const State state = it.state == RunState::Ran ? State::Ran : State::MayHaveRun;
        Entry entry{state, 0, it.key.issued, std::nullopt};
        if (it.answer && m_answerBytes + it.answer->body.size() <= m_limits.maxAnswerBytes) {
            m_answerBytes += it.answer->body.size();
            entry.answer = it.answer;
        }
        remember(id, std::move(entry));
    }
}

void KeyRegistry::remember(const Id &id, Entry entry)
{
    m_byTime.emplace(entry.issued, id);
    m_entries.emplace(id, std::move(entry));
    forgetOldest();
}

void KeyRegistry::tick()
{
    const WallTime oldest
        = m_clock.wallNow()
          - std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.window);
    while (!m_byTime.empty() && m_byTime.begin()->first < oldest) {
        m_floor = std::max(m_floor, m_byTime.begin()->first + std::chrono::milliseconds(1));
        forget(Id(m_byTime.begin()->second));
    }
}

ClaimAnswer KeyRegistry::refuse(Reason reason) const
{
    ClaimAnswer answer;
    answer.reason = reason;
    answer.state = info(reason).state;
    return answer;
}

ClaimAnswer KeyRegistry::answerRepeat(const Entry &entry) const
{
    ClaimAnswer answer = refuse(Reason::DuplicateKey);
    if (entry.state == State::Ran)
        answer.state = RunState::Ran;
    if (entry.answer) {
        answer.decision = ClaimAnswer::Decision::Answer;
        answer.answer = *entry.answer;
    }
    return answer;
}

// Drops the oldest keys beyond the maximum, and raises the floor so that keys as old are refused.
void KeyRegistry::forgetOldest()
{
    while (m_entries.size() > m_limits.maxKeys) {
        m_floor = std::max(m_floor, m_byTime.begin()->first + std::chrono::milliseconds(1));
        forget(Id(m_byTime.begin()->second));
    }
}

void KeyRegistry::forget(const Id &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    const auto [first, last] = m_byTime.equal_range(it->second.issued);
    for (auto time = first; time != last; ++time) {
        if (time->second == id) {
            m_byTime.erase(time);
            break;
        }
    }
    if (it->second.answer)
        m_answerBytes -= it->second.answer->body.size();
    m_entries.erase(it);
}

std::map<int, HandedKeys>
groupBySuccessor(const HandedKeys &exported,
                 const std::function<int(std::uint32_t partition)> &successorOf)
{
    std::map<int, HandedKeys> groups;
    for (std::uint32_t partition = 0; partition < kKeyPartitions; ++partition)
        groups[successorOf(partition)].floor = exported.floor;
    for (const HandedKey &it : exported.keys)
        groups[successorOf(keyPartition(it.key.team, it.key.text))].keys.push_back(it);
    return groups;
}

} // namespace fordwood
