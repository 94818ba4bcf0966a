// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED
#define FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace fordwood::node {

// What tells a caller the end of an answer whose length is not known when it begins.
enum class StreamEnd {
    LastChunk,
    // The end of the connection, as the upstream's answer did. If it is incomplete, the connection
    // is reset.
    Connection,
};

// Writes the answer to one request to the caller's connection. After sendAnswer(), endStream() or
// abort() the request is finished, and nothing more may be written for it.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    // Counts what is held of the answer toward the limit of this team.
    virtual void setTeam(const std::string &team) = 0;

    // Sends an answer with its complete body.
    virtual void sendAnswer(boost::beast::http::response_header<> head, std::string body) = 0;

    // Starts an answer whose body follows in parts.
    virtual void beginStream(boost::beast::http::response_header<> head, StreamEnd end) = 0;

    // Sends a part of the body. Returns false if the caller reads too slowly; the writer then
    // calls CallHandler::onCallerReady() when more can be sent.
    virtual bool sendChunk(std::string_view bytes) = 0;

    // Ends a streamed answer that is complete.
    virtual void endStream() = 0;

    // Closes the connection, so that the caller sees that the answer is incomplete.
    virtual void abort() = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED
