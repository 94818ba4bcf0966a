// SPDX-License-Identifier: MIT
// easylogging++ is distributed as a source file that each program compiles once.
#include <easylogging++.cc>
