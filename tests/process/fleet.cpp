// SPDX-License-Identifier: MIT
#include "process/fleet.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

#include "adapters/http/http_get.hpp"
#include "adapters/http/socket_address.hpp"
#include "config/read_configuration.hpp"

namespace fordwood::process {

namespace {

constexpr auto kPollStep = std::chrono::milliseconds(10);
constexpr auto kWaitTimeout = std::chrono::seconds(60);

std::string program(const std::string &name)
{
    return programPath(FORDWOOD_PROGRAMS, name);
}

std::string standin(const std::string &name)
{
    return std::string(FORDWOOD_STANDINS) + "/standin-" + name;
}

// True when nothing listens on the address.
bool isFree(const std::string &address)
{
    const auto target = adapters::parseSocketAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool bound = bind(fd, target->get(), sizeof(sockaddr_in)) == 0;
    close(fd);
    return bound;
}

// Finds a loopback network that no other running fleet uses.
std::string findNetwork()
{
    const int start = static_cast<int>(getpid());
    for (int it = 0; it < 50'000; ++it) {
        const int n = (start + it) % 50'000;
        std::string network
            = "127." + std::to_string(20 + n / 250) + "." + std::to_string(1 + n % 250) + ".";
        if (isFree(network + "1:7000") && isFree(network + "1:7001"))
            return network;
    }
    return "127.254.254.";
}

std::string readAll(const std::string &path)
{
    std::ifstream in(path);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

Fleet::Fleet(FleetSize size) : m_size(std::move(size)), m_network(findNetwork())
{
    std::string pattern = std::filesystem::temp_directory_path() / "fordwood-XXXXXX";
    m_folder = mkdtemp(pattern.data());
    engineProcesses.resize(static_cast<std::size_t>(m_size.engines));
    entryds.resize(static_cast<std::size_t>(m_size.nodes));
    controlds.resize(static_cast<std::size_t>(m_size.nodes));
}

Fleet::~Fleet()
{
    if (std::getenv("FORDWOOD_KEEP_LOGS") != nullptr) {
        std::cerr << "logs kept in " << m_folder << "\n";
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void Fleet::start()
{
    platform
        = Process({standin("platform"), platformAddress(), platformHttp()}, logFile("platform"));
    service = Process({standin("service"), serviceAddress()}, logFile("service"));
    store = Process({standin("store"), storeAddress(), "1000000000", "0", "125000000"},
                    logFile("store"));
    for (int it = 0; it < m_size.engines; ++it)
        startEngine(it);
    waitFor([&] {
        return adapters::httpGet("http://" + platformHttp() + "/counters", kPollStep * 50)
            .has_value();
    });
    publishVms();
    submit(configuration());
    for (int it = 0; it < m_size.nodes; ++it) {
        writeSettings(it);
        startControld(it);
        startEntryd(it);
    }
    for (int it = 0; it < m_size.nodes; ++it) {
        const bool ready = waitFor([&] {
            return httpCall("GET", caller(it) + "/readyz").status == 200
                   && metric(it, "fordwood_configuration_version") >= 1;
        });
        if (!ready)
            std::cerr << "node " << it << " is not ready\n"
                      << readAll(logFile("entryd-" + std::to_string(it)));
    }
}

void Fleet::startEntryd(int node)
{
    const std::string name = "entryd-" + std::to_string(node);
    entryds.at(static_cast<std::size_t>(node)) = Process(
        {program("fordwood-entryd"), "--settings", settingsFile(node)}, logFile(name), entryOutput);
}

void Fleet::startControld(int node)
{
    const std::string name = "controld-" + std::to_string(node);
    controlds.at(static_cast<std::size_t>(node))
        = Process({program("fordwood-controld"), "--settings", settingsFile(node)}, logFile(name));
}

void Fleet::startEngine(int engine)
{
    std::vector<std::string> command{standin("engine"), engineAddress(engine),
                                     "slots=" + std::to_string(m_size.engineSlots)};
    command.insert(command.end(), m_size.engineOptions.begin(), m_size.engineOptions.end());
    engineProcesses.at(static_cast<std::size_t>(engine))
        = Process(command, logFile("engine-" + std::to_string(engine)));
}

int Fleet::ctl(const std::vector<std::string> &arguments, std::string *output)
{
    const std::string log = logFile("ctl");
    std::filesystem::remove(log);
    std::vector<std::string> command{program("fordwoodctl")};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const int code = Process(command, log).wait();
    if (output != nullptr)
        *output = readAll(log);
    return code;
}

int Fleet::load(const std::string &workload, std::string &result,
                const std::vector<std::string> &options)
{
    const std::string file = m_folder + "/workload.toml";
    std::ofstream(file) << workload;
    const std::string resultFile = m_folder + "/result.json";
    std::vector<std::string> command{program("fordwood-load"), file, "--result", resultFile};
    command.insert(command.end(), options.begin(), options.end());
    const int code = Process(command, logFile("load")).wait();
    result = readAll(resultFile);
    if (result.empty())
        std::cerr << readAll(logFile("load"));
    return code;
}

int Fleet::submit(const std::string &text, std::string *output)
{
    const std::string file = m_folder + "/configuration.toml";
    std::ofstream(file) << text;
    return ctl({"submit", file, "--platform", platformAddress()}, output);
}

// The example configuration, with its addresses replaced by those of this fleet's stand-ins.
std::string Fleet::exampleConfiguration() const
{
    const std::string folder = std::string(FORDWOOD_EXAMPLES) + "/" + m_size.example + "/";
    std::istringstream lines(readAll(folder + "fleet.toml") + readAll(folder + "teams.toml"));
    std::ostringstream out;
    std::string address;
    int engine = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line == "kind = \"engine\"")
            address = engineAddress(engine++);
        else if (line == "kind = \"service\"")
            address = serviceAddress();
        else if (line == "[[store]]")
            address = storeAddress();
        out << (line.rfind("address = ", 0) == 0 ? "address = \"" + address + "\"" : line) << "\n";
    }
    return out.str();
}

// The prompt tokens per second that the engines are started with.
std::string Fleet::prefillRate() const
{
    constexpr std::string_view kOption = "prefill_rate=";
    for (const std::string &it : m_size.engineOptions) {
        if (it.rfind(kOption, 0) == 0)
            return it.substr(kOption.size());
    }
    return "10000";
}

std::string Fleet::configuration() const
{
    if (!m_size.example.empty())
        return exampleConfiguration();
    std::ostringstream out;
    out << "[[model]]\nname = \"m\"\nweight_version = \"v1\"\n";
    for (int it = 0; it < 2; ++it)
        out << "[[team]]\nname = \"team-" << it << "\"\nshare = " << it + 1
            << ".0\nkey_sha256 = [\"" << config::sha256Hex("key-" + std::to_string(it)) << "\"]\n";
    for (int it = 0; it < m_size.domains; ++it)
        out << "[[failure_domain]]\nname = \"" << failureDomain(it) << "\"\nregion = \"r\"\n";
    for (int it = 0; it < m_size.engines; ++it)
        out << "[[upstream]]\nname = \"engine-" << it
            << "\"\nkind = \"engine\"\nfailure_domain = \"" << failureDomain(it)
            << "\"\naddress = \"" << engineAddress(it)
            << "\"\nmodels = [\"m\"]\nslots = " << m_size.engineSlots
            << "\nprefill_tokens_per_second = " << prefillRate()
            << "\nresumes = " << (m_size.resumes ? "true" : "false")
            << "\nrefuses_when_full = " << (m_size.refusesWhenFull ? "true" : "false") << "\n";
    out << "[[upstream]]\nname = \"service-0\"\nkind = \"service\"\nfailure_domain = \""
        << failureDomain(0) << "\"\naddress = \"" << serviceAddress()
        << "\"\nservice = \"s\"\nslots = 64\n"
        << "[[route]]\npath = \"/once\"\nservice = \"s\"\nrepeatable = false\n"
        << "[[route]]\npath = \"/again\"\nservice = \"s\"\nrepeatable = true\n";
    return out.str();
}

void Fleet::publishVms(const std::vector<std::string> &leaving)
{
    const auto state = [&](const std::string &name) {
        return std::find(leaving.begin(), leaving.end(), name) == leaving.end() ? "live"
                                                                                : "leaving";
    };
    std::ostringstream out;
    out << "{\"revision\":" << ++m_listRevision << ",\"vms\":[";
    for (int it = 0; it < m_size.nodes; ++it) {
        const std::string name = "node-" + std::to_string(it);
        out << "{\"name\":\"" << name << "\",\"role\":\"entry\",\"failure_domain\":\""
            << failureDomain(it) << "\",\"region\":\"r\",\"control_address\":\""
            << controlAddress(it) << "\",\"state\":\"" << state(name) << "\"},";
    }
    for (int it = 0; it < m_size.engines; ++it) {
        const std::string name = "engine-" + std::to_string(it);
        out << "{\"name\":\"" << name << "\",\"role\":\"upstream\",\"state\":\"" << state(name)
            << "\"},";
    }
    out << "{\"name\":\"service-0\",\"role\":\"upstream\",\"state\":\"" << state("service-0")
        << "\"}]}";
    httpCall("PUT", "http://" + platformHttp() + "/vms", out.str());
}

std::string Fleet::caller(int node) const
{
    return "http://" + entryAddress(node);
}

std::string Fleet::entryAddress(int node) const
{
    return host(100 + node) + ":8080";
}

std::string Fleet::controlAddress(int node) const
{
    return host(100 + node) + ":7100";
}

std::string Fleet::controlMetrics(int node) const
{
    return "http://" + host(100 + node) + ":7101";
}

std::string Fleet::engineAddress(int engine) const
{
    return host(10 + engine) + ":8000";
}

std::string Fleet::serviceAddress() const
{
    return host(90) + ":8000";
}

std::string Fleet::storeAddress() const
{
    return host(91) + ":8000";
}

std::string Fleet::platformAddress() const
{
    return host(1) + ":7000";
}

std::string Fleet::platformHttp() const
{
    return host(1) + ":7001";
}

std::string Fleet::failureDomain(int index) const
{
    return "domain-" + std::to_string(index % m_size.domains);
}

double Fleet::metric(int node, const std::string &name, const std::string &label) const
{
    std::istringstream lines(httpCall("GET", caller(node) + "/metrics").body);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        const std::size_t end = line.find_first_of(" {");
        if (line.substr(0, end) == name && line.find(label) != std::string::npos)
            sum += std::strtod(line.substr(line.rfind(' ')).c_str(), nullptr);
    }
    return sum;
}

std::vector<std::string> Fleet::addresses(const std::function<std::string(int)> &of, int n) const
{
    std::vector<std::string> result;
    result.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        result.push_back(of(it));
    return result;
}

bool Fleet::waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(kPollStep);
    }
    return true;
}

std::string Fleet::bearer(int team)
{
    return "Authorization: Bearer key-" + std::to_string(team);
}

std::string Fleet::host(int number) const
{
    return m_network + std::to_string(number);
}

std::string Fleet::settingsFile(int node) const
{
    return m_folder + "/node-" + std::to_string(node) + ".toml";
}

void Fleet::writeSettings(int node) const
{
    std::ofstream out(settingsFile(node));
    out << "[node]\nname = \"node-" << node << "\"\nfailure_domain = \"" << failureDomain(node)
        << "\"\nregion = \"r\"\n[entry]\nlisten = \"" << entryAddress(node)
        << "\"\nstop_notice = \"" << m_size.stopNotice << "\"\n"
        << m_size.entrySettings << "\n[control]\nlisten = \"" << controlAddress(node)
        << "\"\nmetrics_listen = \"" << host(100 + node) << ":7101\"\n[platform]\nkey_value = \""
        << platformAddress() << "\"\nvm_list = \"" << platformHttp()
        << "\"\nvm_list_period = \"200ms\"\n";
}

std::string Fleet::logFile(const std::string &name) const
{
    return m_folder + "/" + name + ".log";
}

} // namespace fordwood::process
