// SPDX-License-Identifier: MIT
#include "apps/controld/control_node.hpp"

int main(int argc, char **argv)
{
    using namespace fordwood;
    return apps::runDaemon(argc, argv, "fordwood-controld", [](const config::Settings &settings) {
        return std::make_unique<apps::ControlNode>(settings);
    });
}
