// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED
#define FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace fordwood::node {

// Where the answer to one request goes: a caller's connection. After sendAnswer(), endStream() or
// cut() the request is over and the port must not be used again for it.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    // Sends an answer whose body is whole.
    virtual void sendAnswer(boost::beast::http::response_header<> head, std::string body) = 0;

    // Begins an answer that comes in pieces.
    virtual void beginStream(boost::beast::http::response_header<> head) = 0;

    // Sends a piece. False: the caller reads slowly; onCallerReady() of the call tells when it goes
    // on.
    virtual bool sendChunk(std::string_view bytes) = 0;

    // The answer is whole.
    virtual void endStream() = 0;

    // The answer cannot be completed: the connection ends so that this is seen.
    virtual void abort() = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED
