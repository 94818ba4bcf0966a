// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ANSWER_TIMES_HPP_INCLUDED
#define FORDWOOD_ANSWER_TIMES_HPP_INCLUDED

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// How long the latest answered requests took, from their arrival to the end of their answer.
class AnswerTimes
{
public:
    // With fewer answers than this, nothing is said of the time that a request takes.
    static constexpr std::size_t kMinAnswers = 8;

    // `key`: what such requests have in common, such as their route.
    void record(const std::string &key, Duration time);

    // The time within which this share of the latest requests were answered, 1 for all of them;
    // nullopt: too few are known.
    std::optional<Duration> within(const std::string &key, double share) const;

    // Forgets all other keys.
    void retain(const std::set<std::string> &keys);

private:
    static constexpr std::size_t kMaxAnswers = 64; // for each key

    struct Latest
    {
        std::array<Duration, kMaxAnswers> times{};
        std::size_t recorded = 0; // also those that are no longer held
    };
    std::map<std::string, Latest> m_latest; // by key
};

} // namespace fordwood

#endif // FORDWOOD_ANSWER_TIMES_HPP_INCLUDED
