// SPDX-License-Identifier: MIT
#include "fordwood/limit_share.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// The capacity of an overloaded upstream as the platform specifies it: in any four seconds,
// kOvershoot times its limit plus kSlack requests.
constexpr double kCapacityWindowSeconds = 4.0;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;

// Requests sent within this time may arrive within four seconds, because connections can be
// established late and lost packets are retransmitted.
constexpr double kCountedSeconds = kCapacityWindowSeconds + 0.4;

// Reserve for a sender that the others have just stopped counting.
constexpr double kSpareSender = 1.0;

// The fraction of the limit that one side of a partition reserves first; the rest allows more
// senders.
constexpr double kRateShareOfEachSide = 0.6;
constexpr double kMinSenders = 2.0; // one may have died

// Messages list at most this many senders; with more, each share would be too small to be used.
constexpr double kMaxSenders = 64.0;

} // namespace

LimitShare shareOfLimit(double perSecond, bool isFleetComplete)
{
    const double capacity = kOvershoot * perSecond * kCapacityWindowSeconds + kSlack;
    double senders = capacity - kCountedSeconds * perSecond - kSpareSender;
    double rate = perSecond;
    if (!isFleetComplete) {
        const double half = capacity / 2.0;
        senders = std::max(kMinSenders, half - kCountedSeconds * kRateShareOfEachSide * perSecond);
        senders = static_cast<double>(static_cast<std::size_t>(std::min(senders, kMaxSenders)));
        rate = std::min(perSecond, (half - senders) / kCountedSeconds);
    }
    return {static_cast<std::size_t>(std::clamp(senders, kMinSenders, kMaxSenders)), rate};
}

} // namespace fordwood
