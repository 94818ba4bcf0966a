// SPDX-License-Identifier: MIT
#include "apps/ctl/references.hpp"

#include <sstream>

#include "adapters/observe/event_log.hpp"
#include "config/schema.hpp"
#include "fordwood/reason.hpp"

namespace fordwood::apps {

namespace {

constexpr const char *kGeneratedNote
    = "This page is made from the code by `tools/write_references.sh`.";

std::string reasonsPage()
{
    std::ostringstream out;
    out << "# Reasons\n\nWhy a request was refused, retried or ended early. " << kGeneratedNote
        << " The name stands\nin the `Fordwood-Reason` header, in the `code` of the JSON error and "
           "in "
           "the label of the counters\n`fordwood_refusals_total` and `fordwood_retries_total`. The "
           "verdict says what the reason alone\nsays; where an earlier attempt of the same request "
           "may have run, the caller is told\n`may-have-run` whatever the last reason was.\n\n"
           "| number | name | verdict | status | text for the caller |\n|---|---|---|---|---|\n";
    for (const ReasonInfo &it : kReasons)
        out << "| " << static_cast<int>(it.reason) << " | `" << it.name << "` | "
            << headerValue(it.state) << " | " << it.httpStatus << " | " << it.text << " |\n";
    return out.str();
}

} // namespace

std::optional<std::string> referenceOf(const std::string &name)
{
    if (name == "configuration")
        return config::referencePage(
            config::configurationSections(), "Configuration reference",
            "What `fordwoodctl submit` takes: one TOML file, or a folder of them that is taken as\n"
            "one. Every key is checked; an unknown key is an error. "
                + std::string(kGeneratedNote));
    if (name == "settings")
        return config::referencePage(config::entrySettingsSections(), "Settings reference",
                                     "The settings file of one entry VM, read at start by both "
                                     "daemons.\n"
                                         + std::string(kGeneratedNote));
    if (name == "node-settings")
        return config::referencePage(config::nodeSettingsSections(), "Node settings reference",
                                     "The settings file of `fordwood-noded`, read at its start and "
                                     "at SIGHUP.\n"
                                         + std::string(kGeneratedNote));
    if (name == "reasons")
        return reasonsPage();
    if (name == "events")
        return adapters::eventsPage();
    return std::nullopt;
}

} // namespace fordwood::apps
