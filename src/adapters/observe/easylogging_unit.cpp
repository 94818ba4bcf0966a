// SPDX-License-Identifier: MIT
// easylogging++ comes as a source file that every program compiles once.
#include <easylogging++.cc>
