// SPDX-License-Identifier: MIT
#include "apps/entryd/entry_node.hpp"

int main(int argc, char **argv)
{
    using namespace fordwood;
    return apps::runDaemon(argc, argv, "fordwood-entryd", [](const config::Settings &settings) {
        return std::make_unique<apps::EntryNode>(settings);
    });
}
