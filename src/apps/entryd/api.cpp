// SPDX-License-Identifier: MIT
#include "apps/entryd/api.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <nlohmann/json.hpp>

#include "config/document.hpp"
#include "config/read_configuration.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::apps {

namespace {

using Json = nlohmann::json;
using ParseResult = tl::expected<std::variant<ParsedRequest, adapters::DirectAnswer>, Verdict>;

constexpr double kBytesPerToken = 4.0;
constexpr double kDefaultNewTokens = 256.0;
constexpr double kMaxNewTokens = 1e6;
constexpr std::size_t kPrefixBytes = 1024; // how much of a plain prompt selects its upstream
constexpr int kPriorityBound = 100;

tl::unexpected<Verdict> reject(Reason reason, std::string detail = {})
{
    return tl::make_unexpected(Verdict::of(reason, std::move(detail)));
}

// Headers that are not forwarded to plain services.
bool isNotForwarded(std::string_view name)
{
    static constexpr std::array kNames{
        "authorization", "host", "connection", "content-length", "expect",    "transfer-encoding",
        "keep-alive",    "te",   "upgrade",    "x-team",         "x-priority"};
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return lower.rfind("fordwood-", 0) == 0
           || std::find(kNames.begin(), kNames.end(), lower) != kNames.end();
}

const TeamConfig *findTeam(const ServingState &state, const adapters::CallerRequest &message)
{
    constexpr std::string_view kBearer = "Bearer ";
    const std::string header = message.header("Authorization");
    if (header.rfind(kBearer, 0) != 0)
        return nullptr;
    return state.teams.find(std::string_view(header).substr(kBearer.size()));
}

// Parses the headers that any request may have: deadline, priority, repeatable, idempotency key.
tl::expected<CallRequest, Verdict> parseCommonFields(const ServingState &state,
                                                     const TeamConfig &team,
                                                     const adapters::CallerRequest &message,
                                                     TimePoint now)
{
    const LimitsConfig &limits = state.view->configuration().limits;
    CallRequest call;
    call.team = team.name;
    call.priority = team.priority;
    const std::string host = message.header("Host");
    call.fingerprint = fingerprintOf({message.method, host, message.path, team.name, message.body});
    Duration remaining = limits.defaultDeadline;
    const std::string deadline = message.header("Fordwood-Deadline");
    if (!deadline.empty()) {
        const auto span = config::parseSpan(deadline);
        if (!span || *span <= Duration::zero())
            return reject(Reason::InvalidField, "Fordwood-Deadline: is \"" + deadline
                                                    + "\", expected a span like \"5s\".");
        remaining = std::min(*span, limits.maxDeadline);
    }
    call.deadline = now + remaining;
    const std::string priority = message.header("Fordwood-Priority");
    if (!priority.empty()) {
        int value = 0;
        const char *end = priority.data() + priority.size();
        const auto [rest, ec] = std::from_chars(priority.data(), end, value);
        if (ec != std::errc() || rest != end || std::abs(value) > kPriorityBound)
            return reject(Reason::InvalidField,
                          "Fordwood-Priority: is \"" + priority
                              + "\", expected a whole number from -100 to 100.");
        call.priority = value;
    }
    const std::string repeatable = message.header("Fordwood-Repeatable");
    if (!repeatable.empty() && repeatable != "true" && repeatable != "false")
        return reject(Reason::InvalidField, "Fordwood-Repeatable: is \"" + repeatable
                                                + "\", expected \"true\" or \"false\".");
    call.repeatable = repeatable != "false";
    const std::string key = message.header("Idempotency-Key");
    if (!key.empty()) {
        const auto issued = issueTimeOf(key);
        if (!issued)
            return reject(Reason::InvalidKey, "Idempotency-Key: is \"" + key + "\".");
        call.key = IdempotencyKey{team.name, key, *issued};
        call.repeatable = false;
    }
    return call;
}

// Whether objects and lists are nested too deeply in a JSON text. Each level takes the stack of a
// call when the JSON library copies a value or writes it as text.
bool isTooDeep(std::string_view json)
{
    constexpr std::size_t kMaxDepth = 128;
    std::size_t depth = 0;
    bool isInText = false;
    for (std::size_t n = 0; n < json.size(); ++n) {
        const char it = json[n];
        if (isInText && it == '\\')
            ++n; // the escaped character does not end the text
        else if (it == '"')
            isInText = !isInText;
        else if (!isInText && (it == '[' || it == '{') && ++depth > kMaxDepth)
            return true;
        else if (!isInText && (it == ']' || it == '}') && depth > 0)
            --depth;
    }
    return false;
}

std::string validateMessages(const Json &body)
{
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
        return "messages: expected a list of messages.";
    std::size_t n = 0;
    for (const Json &it : body["messages"]) {
        const std::string field = "messages[" + std::to_string(n++) + "]";
        if (!it.is_object())
            return field + ": expected an object.";
        if (!it.contains("role") || !it["role"].is_string())
            return field + ".role: expected a text.";
        if (!it.contains("content") || !(it["content"].is_string() || it["content"].is_array()))
            return field + ".content: expected a text or a list of parts.";
    }
    return "";
}

std::string validatePrompt(const Json &body)
{
    if (!body.contains("prompt") || !body["prompt"].is_string())
        return "prompt: expected a text.";
    return "";
}

std::string validateOptions(const Json &body)
{
    if (body.contains("stream") && !body["stream"].is_boolean())
        return "stream: expected true or false.";
    if (body.contains("cache_salt"))
        return "cache_salt: is set by the system and may not be given.";
    if (!body.contains("max_tokens"))
        return "";
    const Json &maxTokens = body["max_tokens"];
    if (!maxTokens.is_number_integer() || maxTokens.get<double>() < 1
        || maxTokens.get<double>() > kMaxNewTokens)
        return "max_tokens: expected a whole number from 1 to 1000000.";
    return "";
}

// The part of a prompt that follow-up requests share: the first message, or the start of the text.
std::string sharedPrefix(const Json &body, bool chat)
{
    if (chat)
        return body["messages"][0].dump();
    return body["prompt"].get_ref<const std::string &>().substr(0, kPrefixBytes);
}

std::size_t tokensOf(std::size_t bytes)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) / kBytesPerToken);
}

// The salt that separates the contexts of different teams, models and weight versions in the
// engines.
std::string cacheSalt(const std::string &team, const std::string &model, const std::string &version)
{
    // A JSON list, not text joined by a separator: names may contain any separator.
    return config::sha256Hex(Json::array({team, model, version}).dump());
}

// Sets the weight version in the header and the cache salt in the body.
void setVersionAndSalt(adapters::UpstreamRequest &request, const std::string &version,
                       const std::string &salt)
{
    constexpr std::string_view kHeader = "X-Weight-Version";
    std::erase_if(request.headers, [&](const auto &it) { return it.first == kHeader; });
    request.headers.emplace_back(kHeader, version);
    // Insert the salt as text before the caller's fields, to leave the rest of the body unchanged.
    const std::string field = "\"cache_salt\":" + Json(salt).dump() + ",";
    if (request.weightVersion.empty())
        request.saltOffset = request.body.find('{') + 1;
    request.body.replace(request.saltOffset, request.saltLength, field);
    request.saltLength = field.size();
    request.weightVersion = version;
}

ParseResult parseCompletion(const ServingState &state, const TeamConfig &team,
                            adapters::CallerRequest message, TimePoint now, bool chat)
{
    if (message.method != "POST")
        return reject(Reason::MethodNotAllowed);
    auto call = parseCommonFields(state, team, message, now);
    if (!call)
        return tl::make_unexpected(call.error());
    if (isTooDeep(message.body))
        return reject(Reason::InvalidField, "The body: is nested too deeply.");
    const Json body = Json::parse(message.body, nullptr, false);
    if (body.is_discarded())
        return reject(Reason::InvalidJson);
    if (!body.is_object())
        return reject(Reason::InvalidField, "The body: expected an object.");
    if (!body.contains("model") || !body["model"].is_string())
        return reject(Reason::InvalidField, "model: expected a text.");
    std::string problem = chat ? validateMessages(body) : validatePrompt(body);
    if (problem.empty())
        problem = validateOptions(body);
    if (!problem.empty())
        return reject(Reason::InvalidField, problem);
    const auto &models = state.view->configuration().models;
    const auto model = models.find(body["model"].get<std::string>());
    if (model == models.end())
        return reject(Reason::UnknownModel, "model: \"" + body["model"].get<std::string>() + "\".");

    ParsedRequest result;
    result.call = *call;
    result.call.kind = CallKind::Completion;
    result.call.target = model->first;
    result.call.weightVersion = model->second.weightVersion;
    const std::string salt = cacheSalt(call->team, model->first, model->second.weightVersion);
    const std::string prefixText = sharedPrefix(body, chat);
    result.call.prefixHash = stableHash(prefixText, stableHash(salt));
    const std::size_t prefixBytes = chat ? prefixText.size() : message.body.size();
    result.call.contextTokens = tokensOf(prefixBytes);
    result.call.questionTokens
        = tokensOf(message.body.size() - std::min(message.body.size(), prefixBytes));
    result.call.cost = static_cast<double>(message.body.size()) / kBytesPerToken
                       + body.value("max_tokens", kDefaultNewTokens);
    result.upstream.path = message.path;
    result.upstream.headers = {{"Content-Type", "application/json"}};
    const std::string requestId = message.header("X-Request-Id");
    if (!requestId.empty())
        result.upstream.headers.emplace_back("X-Request-Id", requestId);
    result.upstream.body = std::move(message.body);
    setVersionAndSalt(result.upstream, model->second.weightVersion, salt);
    return std::variant<ParsedRequest, adapters::DirectAnswer>(std::move(result));
}

ParseResult listModels(const ServingState &state)
{
    Json list{{"object", "list"}, {"data", Json::array()}};
    for (const auto &[name, model] : state.view->configuration().models)
        list["data"].push_back({{"id", name}, {"object", "model"}, {"owned_by", "fordwood"}});
    adapters::DirectAnswer answer;
    answer.body = list.dump();
    return std::variant<ParsedRequest, adapters::DirectAnswer>(std::move(answer));
}

// The route with the longest path that is a prefix of the request's path and ends at a segment
// boundary.
const RouteConfig *findRoute(const Configuration &configuration, const std::string &path)
{
    const RouteConfig *best = nullptr;
    for (const auto &[prefix, route] : configuration.routes) {
        const bool hasPrefix = path.rfind(prefix, 0) == 0;
        const bool isAtBoundary = path.size() == prefix.size() || prefix.back() == '/'
                                  || path[std::min(prefix.size(), path.size() - 1)] == '/'
                                  || path[std::min(prefix.size(), path.size() - 1)] == '?';
        if (hasPrefix && isAtBoundary && (best == nullptr || prefix.size() > best->path.size()))
            best = &route;
    }
    return best;
}

ParseResult parseServiceCall(const ServingState &state, const TeamConfig &team,
                             adapters::CallerRequest message, TimePoint now)
{
    const RouteConfig *route = findRoute(state.view->configuration(), message.path);
    if (route == nullptr)
        return reject(Reason::UnknownRoute);
    auto call = parseCommonFields(state, team, message, now);
    if (!call)
        return tl::make_unexpected(call.error());
    ParsedRequest result;
    result.call = *call;
    result.call.kind = CallKind::Service;
    result.call.target = route->service;
    result.call.repeatable = call->repeatable && route->repeatable;
    result.call.prefixHash = stableHash(message.path, stableHash(team.name));
    result.upstream.method = message.method;
    result.upstream.path = message.path;
    for (const auto &[name, value] : message.headers) {
        if (!isNotForwarded(name))
            result.upstream.headers.emplace_back(name, value);
    }
    result.upstream.headers.emplace_back("X-Team", team.name);
    result.upstream.body = std::move(message.body);
    return std::variant<ParsedRequest, adapters::DirectAnswer>(std::move(result));
}

} // namespace

void setWeightVersion(adapters::UpstreamRequest &request, const CallRequest &call,
                      const std::string &version)
{
    if (request.weightVersion != version)
        setVersionAndSalt(request, version, cacheSalt(call.team, call.target, version));
}

tl::expected<std::variant<ParsedRequest, adapters::DirectAnswer>, Verdict>
parseRequest(const ServingState &state, adapters::CallerRequest message, TimePoint now)
{
    const TeamConfig *team = findTeam(state, message);
    if (team == nullptr)
        return reject(Reason::UnknownTeam);
    const std::string path = message.path.substr(0, message.path.find('?'));
    if (path == "/v1/models")
        return message.method == "GET" ? listModels(state) : reject(Reason::MethodNotAllowed);
    if (path == "/v1/chat/completions")
        return parseCompletion(state, *team, std::move(message), now, true);
    if (path == "/v1/completions")
        return parseCompletion(state, *team, std::move(message), now, false);
    return parseServiceCall(state, *team, std::move(message), now);
}

} // namespace fordwood::apps
