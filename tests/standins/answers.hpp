// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_STANDINS_ANSWERS_HPP_INCLUDED
#define FORDWOOD_TESTS_STANDINS_ANSWERS_HPP_INCLUDED

#include <string>

#include <nlohmann/json.hpp>

#include "standins/blocking_server.hpp"

namespace fordwood::standins {

inline Answer plain(int status)
{
    Answer answer;
    answer.status = status;
    return answer;
}

inline Answer json(const nlohmann::json &body, int status = 200)
{
    Answer answer = plain(status);
    answer.body = body.dump();
    return answer;
}

// The value of a parameter of a query; empty: it has none.
inline std::string queryValue(const std::string &query, const std::string &name)
{
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

} // namespace fordwood::standins

#endif // FORDWOOD_TESTS_STANDINS_ANSWERS_HPP_INCLUDED
