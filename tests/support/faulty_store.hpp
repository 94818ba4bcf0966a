// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_FAULTY_STORE_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_FAULTY_STORE_HPP_INCLUDED

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/key_value_store.hpp"

namespace fordwood::support {

// A store whose writes can fail or lose their replies, before or after they take effect.
class FaultyStore : public KeyValueStore
{
public:
    enum class Fault { None, LostAfterEffect, LostBeforeEffect, Down };

    std::map<std::string, StoredValue> values;
    std::vector<Fault> headFaults; // for the next writes of the head, in order
    std::function<void()> beforeHeadWrite; // called once; simulates a concurrent operator
    bool down = false;
    bool slow = false; // writes take effect, but their replies are lost

    StoreResult<std::optional<StoredValue>> get(const std::string &key, Duration) override
    {
        if (down)
            return tl::make_unexpected(StoreError{RunState::NotRun, "down"});
        const auto it = values.find(key);
        return it == values.end() ? std::nullopt : std::optional(it->second);
    }

    StoreResult<std::vector<std::optional<StoredValue>>>
    getMany(const std::vector<std::string> &keys, Duration timeout) override
    {
        std::vector<std::optional<StoredValue>> result;
        for (const std::string &it : keys) {
            const auto value = get(it, timeout);
            if (!value)
                return tl::make_unexpected(value.error());
            result.push_back(*value);
        }
        return result;
    }

    StoreResult<bool> write(const std::vector<ConditionalWrite> &writes, Duration) override
    {
        if (beforeHeadWrite)
            std::exchange(beforeHeadWrite, nullptr)();
        Fault fault = down ? Fault::Down : Fault::None;
        if (slow && !down)
            fault = Fault::LostAfterEffect;
        if (!headFaults.empty()) {
            fault = headFaults.front();
            headFaults.erase(headFaults.begin());
        }
        if (fault == Fault::Down || fault == Fault::LostBeforeEffect)
            return tl::make_unexpected(StoreError{
                fault == Fault::Down ? RunState::NotRun : RunState::MayHaveRun, "no answer"});
        bool all = true;
        for (const ConditionalWrite &it : writes) {
            const auto known = values.find(it.key);
            all = all
                  && (known == values.end() ? 0 : known->second.revision) == it.expectedRevision;
        }
        if (all)
            put(writes);
        if (fault == Fault::LostAfterEffect)
            return tl::make_unexpected(StoreError{RunState::MayHaveRun, "reply lost"});
        return all;
    }

    StoreResult<bool> writeMissing(const std::vector<ConditionalWrite> &writes, Duration) override
    {
        if (down)
            return tl::make_unexpected(StoreError{RunState::NotRun, "down"});
        for (const ConditionalWrite &it : writes) {
            if (values.count(it.key) == 0)
                put({it});
        }
        return true;
    }

private:
    void put(const std::vector<ConditionalWrite> &writes)
    {
        ++m_revision;
        for (const ConditionalWrite &it : writes)
            values[it.key] = {it.value, m_revision};
    }

    std::int64_t m_revision = 0;
};

} // namespace fordwood::support

#endif // FORDWOOD_TESTS_SUPPORT_FAULTY_STORE_HPP_INCLUDED
