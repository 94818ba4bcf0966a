// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_INCOMING_REQUESTS_HPP_INCLUDED
#define FORDWOOD_NODE_INCOMING_REQUESTS_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>

#include "fordwood/incoming_limit.hpp"

namespace fordwood::node {

// The requests that a node is reading. Gives the largest up while they take more than the limit.
class IncomingRequests
{
    struct State
    {
        IncomingLimit limit;
        std::map<IncomingLimit::Id, std::function<void()>> giveUp;
    };

public:
    explicit IncomingRequests(std::size_t maxBytes)
        : m_state(std::make_shared<State>(State{IncomingLimit(maxBytes), {}}))
    { }

    // One request. Ends when it is destroyed. May outlive the object that made it.
    class Entry
    {
    public:
        // `giveUp` is called, at most once, when the request is to be given up.
        Entry(IncomingRequests &requests, std::function<void()> giveUp)
            : m_state(requests.m_state), m_id(m_state->limit.begin())
        {
            m_state->giveUp.emplace(m_id, std::move(giveUp));
        }
        ~Entry() { end(); }
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        // The request takes so many bytes now. May give up others, or this one.
        void resize(std::size_t bytes)
        {
            const std::shared_ptr<State> state = m_state;
            state->limit.resize(m_id, bytes);
            while (const auto largest = state->limit.excess()) {
                state->limit.end(*largest);
                const auto found = state->giveUp.extract(*largest);
                if (!found.empty())
                    found.mapped()();
            }
        }

        void end()
        {
            m_state->limit.end(m_id);
            m_state->giveUp.erase(m_id);
        }

    private:
        const std::shared_ptr<State> m_state;
        const IncomingLimit::Id m_id;
    };

private:
    const std::shared_ptr<State> m_state;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_INCOMING_REQUESTS_HPP_INCLUDED
