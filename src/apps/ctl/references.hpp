// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CTL_REFERENCES_HPP_INCLUDED
#define FORDWOOD_APPS_CTL_REFERENCES_HPP_INCLUDED

#include <optional>
#include <string>

namespace fordwood::apps {

// A reference page of the documentation, generated from the code: configuration, settings,
// node-settings, reasons or events. Returns nothing for any other name.
std::optional<std::string> referenceOf(const std::string &name);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CTL_REFERENCES_HPP_INCLUDED
