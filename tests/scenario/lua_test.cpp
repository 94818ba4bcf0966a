// SPDX-License-Identifier: MIT
// Runs every scenario of this folder: Lua steps over a paused clock. docs/scenarios.md has the
// words.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <lua.hpp>

#include "config/document.hpp"
#include "support/world.hpp"

namespace {

using namespace fordwood;
using support::World;
using support::WorldRequest;
using support::WorldResult;
using support::WorldSize;

std::unique_ptr<World> world; // NOLINT: the scenario that runs now

Duration spanArgument(lua_State *lua, int index)
{
    const char *text = luaL_checkstring(lua, index);
    const auto span = config::parseSpan(text);
    if (!span)
        luaL_error(lua, "\"%s\" is no time span", text);
    return *span;
}

World &present(lua_State *lua)
{
    if (!world)
        luaL_error(lua, "fleet{...} must come first");
    return *world;
}

std::string textField(lua_State *lua, const char *name, const std::string &fallback)
{
    lua_getfield(lua, 1, name);
    std::string value = lua_isstring(lua, -1) ? lua_tostring(lua, -1) : fallback;
    lua_pop(lua, 1);
    return value;
}

int numberField(lua_State *lua, const char *name, int fallback)
{
    lua_getfield(lua, 1, name);
    const int value = lua_isnumber(lua, -1) ? static_cast<int>(lua_tonumber(lua, -1)) : fallback;
    lua_pop(lua, 1);
    return value;
}

bool flagField(lua_State *lua, const char *name, bool fallback)
{
    lua_getfield(lua, 1, name);
    const bool value = lua_isboolean(lua, -1) ? lua_toboolean(lua, -1) != 0 : fallback;
    lua_pop(lua, 1);
    return value;
}

int fleet(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    WorldSize size;
    size.nodes = numberField(lua, "nodes", size.nodes);
    size.domains = numberField(lua, "domains", size.domains);
    size.engines = numberField(lua, "engines", size.engines);
    size.slots = static_cast<std::size_t>(numberField(lua, "slots", static_cast<int>(size.slots)));
    lua_getfield(lua, 1, "ceilings");
    if (lua_istable(lua, -1)) {
        for (lua_pushnil(lua); lua_next(lua, -2) != 0; lua_pop(lua, 1))
            size.ceilings[luaL_checkstring(lua, -2)] = luaL_checkinteger(lua, -1);
    }
    lua_pop(lua, 1);
    world = std::make_unique<World>(size);
    world->settle();
    return 0;
}

int send(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    WorldRequest request;
    request.node = numberField(lua, "node", 0);
    request.team = textField(lua, "team", request.team);
    request.service = flagField(lua, "service", false);
    request.repeatable = flagField(lua, "repeatable", true);
    request.key = textField(lua, "key", "");
    request.issued = present(lua).fleet.clock.wallNow();
    lua_getfield(lua, 1, "issued_at");
    if (lua_isinteger(lua, -1) != 0)
        request.issued = WallTime(std::chrono::milliseconds(lua_tointeger(lua, -1)));
    lua_pop(lua, 1);
    request.deadline
        = config::parseSpan(textField(lua, "deadline", "20s")).value_or(request.deadline);
    lua_pushinteger(lua, static_cast<lua_Integer>(present(lua).send(request)));
    return 1;
}

int result(lua_State *lua)
{
    const WorldResult &it
        = present(lua).result(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    lua_newtable(lua);
    const auto flag = [&](const char *name, bool value) {
        lua_pushboolean(lua, value ? 1 : 0);
        lua_setfield(lua, -2, name);
    };
    const auto text = [&](const char *name, std::string_view value) {
        lua_pushlstring(lua, value.data(), value.size());
        lua_setfield(lua, -2, name);
    };
    flag("ended", it.ended);
    flag("answered", it.answered);
    flag("repeated", it.repeatedAnswer);
    flag("node_died", it.nodeDied);
    text("verdict", it.ended && !it.answered ? headerValue(it.verdict.state) : "");
    text("reason", it.ended && !it.answered ? info(it.verdict.reason).name : "");
    lua_pushinteger(lua, it.runs);
    lua_setfield(lua, -2, "runs");
    return 1;
}

// Wraps a call that takes a number and gives nothing.
template <void (World::*Method)(int)>
int onNode(lua_State *lua)
{
    (present(lua).*Method)(static_cast<int>(luaL_checkinteger(lua, 1)));
    return 0;
}

const luaL_Reg kWords[] = {
    {"fleet", &fleet},
    {"send", &send},
    {"result", &result},
    {"kill", &onNode<&World::kill>},
    {"restart", &onNode<&World::restart>},
    {"stop", &onNode<&World::stopNode>},
    {"lose_replies", &onNode<&World::loseNextReplies>},
    {"run",
     [](lua_State *lua) {
         present(lua).run(spanArgument(lua, 1));
         if (!present(lua).violation().empty())
             return luaL_error(lua, "%s", present(lua).violation().c_str());
         return 0;
     }},
    {"pause",
     [](lua_State *lua) {
         present(lua).pause(static_cast<int>(luaL_checkinteger(lua, 1)),
                            lua_toboolean(lua, 2) != 0);
         return 0;
     }},
    {"cut",
     [](lua_State *lua) {
         present(lua).cutDomain(luaL_checkstring(lua, 1), lua_toboolean(lua, 2) != 0);
         return 0;
     }},
    {"platform_down",
     [](lua_State *lua) {
         present(lua).setPlatformDown(lua_toboolean(lua, 1) != 0);
         return 0;
     }},
    {"list_lag",
     [](lua_State *lua) {
         present(lua).fleet.setListLag(spanArgument(lua, 1));
         return 0;
     }},
    {"leaving",
     [](lua_State *lua) {
         present(lua).setLeaving(luaL_checkstring(lua, 1), lua_toboolean(lua, 2) != 0);
         return 0;
     }},
    {"break_upstream",
     [](lua_State *lua) {
         present(lua).breakUpstream(luaL_checkstring(lua, 1));
         return 0;
     }},
    {"refuse_next",
     [](lua_State *lua) {
         present(lua).refuseNext(luaL_checkstring(lua, 1),
                                 static_cast<int>(luaL_checkinteger(lua, 2)));
         return 0;
     }},
    {"caller_leaves",
     [](lua_State *lua) {
         present(lua).leaveCaller(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
         return 0;
     }},
    {"now",
     [](lua_State *lua) {
         lua_pushinteger(lua, present(lua).fleet.clock.wallNow().time_since_epoch().count());
         return 1;
     }},
    {"submit",
     [](lua_State *lua) {
         const auto version = present(lua).submit(luaL_checkstring(lua, 1));
         lua_pushinteger(lua, static_cast<lua_Integer>(version));
         return 1;
     }},
    {"submit_both",
     [](lua_State *lua) {
         const auto [one, other]
             = present(lua).submitBoth(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2));
         lua_pushinteger(lua, static_cast<lua_Integer>(one));
         lua_pushinteger(lua, static_cast<lua_Integer>(other));
         return 2;
     }},
    {"platform_slow",
     [](lua_State *lua) {
         present(lua).setPlatformSlow(lua_toboolean(lua, 1) != 0);
         return 0;
     }},
    {"version",
     [](lua_State *lua) {
         const auto node = static_cast<int>(luaL_checkinteger(lua, 1));
         lua_pushinteger(lua, static_cast<lua_Integer>(present(lua).fleet.version(node)));
         return 1;
     }},
    {"runs_on",
     [](lua_State *lua) {
         lua_pushinteger(lua,
                         static_cast<lua_Integer>(present(lua).runsOn(luaL_checkstring(lua, 1))));
         return 1;
     }},
    {"weights_on",
     [](lua_State *lua) {
         const std::string version = present(lua).versionOn(luaL_checkstring(lua, 1));
         lua_pushlstring(lua, version.data(), version.size());
         return 1;
     }},
    {"seeds",
     [](lua_State *lua) {
         present(lua).fleet.setUseSeeds(lua_toboolean(lua, 1) != 0);
         return 0;
     }},
    {"expect",
     [](lua_State *lua) {
         if (lua_toboolean(lua, 1) != 0)
             return 0;
         return luaL_error(lua, "expected: %s", luaL_checkstring(lua, 2));
     }},
    {nullptr, nullptr},
};

// Runs one file; gives the error with its line, or nothing.
std::string runScenario(const std::string &path)
{
    lua_State *lua = luaL_newstate();
    luaL_openlibs(lua);
    lua_pushglobaltable(lua);
    luaL_setfuncs(lua, kWords, 0);
    lua_pop(lua, 1);
    std::string error;
    if (luaL_dofile(lua, path.c_str()) != LUA_OK)
        error = lua_tostring(lua, -1);
    lua_close(lua);
    if (error.empty() && world && !world->violation().empty())
        error = world->violation();
    world = nullptr;
    return error;
}

} // namespace

TEST_CASE("scenarios: every Lua file of the folder holds [scenario]")
{
    std::vector<std::string> files;
    for (const auto &it : std::filesystem::directory_iterator(FORDWOOD_SCENARIOS)) {
        if (it.path().extension() == ".lua")
            files.push_back(it.path().string());
    }
    std::sort(files.begin(), files.end());
    CHECK(files.size() >= 10);
    for (const std::string &it : files) {
        CAPTURE(it);
        CHECK(runScenario(it) == "");
    }
}
