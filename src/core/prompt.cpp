// SPDX-License-Identifier: MIT
#include "fordwood/prompt.hpp"

#include <array>
#include <cstdio>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

std::size_t Prompt::sharedTokens() const
{
    std::size_t sum = 0;
    for (std::size_t it = 0; it + 1 < parts.size(); ++it)
        sum += parts[it].tokens;
    return sum;
}

std::uint64_t Prompt::contextHash() const
{
    std::uint64_t hash = 0;
    for (std::size_t it = 0; it + 1 < parts.size(); ++it)
        hash = stableHash(parts[it].id, hash + 1);
    return hash;
}

std::string contextSalt(const std::string &model, std::uint64_t weightVersion,
                        const std::string &isolatedTeam)
{
    // Hashes of fixed width, so that different names cannot result in the same text.
    constexpr std::uint64_t kTeamSeed = 1;
    const std::uint64_t team = isolatedTeam.empty() ? 0 : stableHash(isolatedTeam, kTeamSeed);
    std::array<char, 64> text{};
    const int n = std::snprintf(text.data(), text.size(), "%llu-%016llx-%016llx",
                                static_cast<unsigned long long>(weightVersion),
                                static_cast<unsigned long long>(modelHashOfSalt(model)),
                                static_cast<unsigned long long>(team));
    return {text.data(), static_cast<std::size_t>(n)};
}

std::uint64_t modelHashOfSalt(const std::string &model)
{
    return stableHash(model);
}

std::optional<SaltParts> parseSalt(const std::string &salt)
{
    unsigned long long version = 0;
    unsigned long long model = 0;
    unsigned long long team = 0;
    int length = 0;
    const int n
        = std::sscanf(salt.c_str(), "%llu-%16llx-%16llx%n", &version, &model, &team, &length);
    if (n != 3 || static_cast<std::size_t>(length) != salt.size())
        return std::nullopt;
    return SaltParts{version, model, team};
}

} // namespace fordwood
