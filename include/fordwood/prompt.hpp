// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PROMPT_HPP_INCLUDED
#define FORDWOOD_PROMPT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fordwood {

// A part of a prompt. Prompts that name the same part share its text.
struct PromptPart
{
    std::string id;
    std::size_t tokens = 0;
};

// What a request asks of a model, as its caller describes it.
struct Prompt
{
    std::string model;
    std::vector<PromptPart> parts; // in order; the last belongs to the request or its session
    std::size_t tokensIn = 0;
    std::size_t maxTokensOut = 0;

    // Tokens of all parts but the last.
    std::size_t sharedTokens() const;

    // A hash of all parts but the last: requests with the same one share that much context.
    std::uint64_t contextHash() const;
};

// The name under which an engine or a store keeps context: no request finds what other weights or a
// walled team have made. `isolatedTeam` is empty for teams that share.
std::string contextSalt(const std::string &model, std::uint64_t weightVersion,
                        const std::string &isolatedTeam);

// What a salt of contextSalt() says.
struct SaltParts
{
    std::uint64_t weightVersion = 0;
    std::uint64_t modelHash = 0;
    std::uint64_t teamHash = 0; // zero: teams that share
};

// Nothing when the text is no salt of ours.
std::optional<SaltParts> parseSalt(const std::string &salt);

// The hash by which a salt names a model.
std::uint64_t modelHashOfSalt(const std::string &model);

} // namespace fordwood

#endif // FORDWOOD_PROMPT_HPP_INCLUDED
