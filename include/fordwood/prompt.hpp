// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PROMPT_HPP_INCLUDED
#define FORDWOOD_PROMPT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fordwood {

// A part of a prompt. Parts with the same id have the same text.
struct PromptPart
{
    std::string id;
    std::size_t tokens = 0;
};

// The prompt of a request, as its caller describes it.
struct Prompt
{
    std::string model;
    std::vector<PromptPart> parts; // in order; the last belongs to the request or its session
    std::size_t tokensIn = 0;
    std::size_t maxTokensOut = 0;

    // Tokens of all parts but the last.
    std::size_t sharedTokens() const;

    // A hash of all parts but the last. Requests with the same hash share these parts.
    std::uint64_t contextHash() const;
};

// The namespace under which engines and stores keep context, so that no request finds context that
// other weights or an isolated team have produced. `isolatedTeam` is empty for teams that share
// context.
std::string contextSalt(const std::string &model, std::uint64_t weightVersion,
                        const std::string &isolatedTeam);

// The fields of a salt made by contextSalt().
struct SaltParts
{
    std::uint64_t weightVersion = 0;
    std::uint64_t modelHash = 0;
    std::uint64_t teamHash = 0; // zero: teams that share context
};

// Returns nothing if the text is not a salt made by contextSalt().
std::optional<SaltParts> parseSalt(const std::string &salt);

// The hash that stands for a model in a salt.
std::uint64_t modelHashOfSalt(const std::string &model);

} // namespace fordwood

#endif // FORDWOOD_PROMPT_HPP_INCLUDED
