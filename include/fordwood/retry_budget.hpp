// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RETRY_BUDGET_HPP_INCLUDED
#define FORDWOOD_RETRY_BUDGET_HPP_INCLUDED

#include <algorithm>

namespace fordwood {

// Limits retries to a fraction of the first sends, so that retries cannot multiply an overload.
// Each first send earns a fraction of a retry; each retry costs one. Not thread-safe.
class RetryBudget
{
public:
    // `ratio`: retries earned per first send. `reserve`: the maximum balance, which is also the
    // initial one.
    explicit RetryBudget(double ratio = 0.1, double reserve = 10.0)
        : m_ratio(ratio), m_reserve(reserve), m_balance(reserve)
    { }

    void countFirstSend() { m_balance = std::min(m_reserve, m_balance + m_ratio); }

    // Takes one retry from the budget; false when none is left.
    bool takeRetry()
    {
        if (m_balance < 1.0)
            return false;
        m_balance -= 1.0;
        return true;
    }

private:
    double m_ratio;
    double m_reserve;
    double m_balance;
};

} // namespace fordwood

#endif // FORDWOOD_RETRY_BUDGET_HPP_INCLUDED
