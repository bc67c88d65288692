#include "testbed/process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <string_view>
#include <system_error>
#include <thread>

#include "transport/fd.hpp"

namespace meadowgauge::testbed {

Process::Process(Process&& other) noexcept
    : options_(std::move(other.options_)),
      pid_(std::exchange(other.pid_, -1)),
      status_(other.status_),
      cpu_ms_(other.cpu_ms_),
      peak_kb_(other.peak_kb_) {}

Process::~Process() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  wait();
}

namespace {

// Returns the environment of this process with some variables replaced or added.
std::vector<std::string> environment_with(const std::vector<std::pair<std::string, std::string>>& variables) {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry; ++entry) {
    std::string_view text(*entry);
    bool replaced = std::any_of(variables.begin(), variables.end(),
                                [&](const auto& variable) { return text.starts_with(variable.first + "="); });
    if (!replaced) environment.emplace_back(text);
  }
  for (const auto& [name, value] : variables) environment.emplace_back(name).append("=").append(value);
  return environment;
}

// Returns pointers to the texts, followed by a null pointer, as execve() requires.
std::vector<char*> null_terminated(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (auto& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Runs in the child after the fork, so it makes only async-signal-safe calls.
[[noreturn]] void run_child(pid_t parent, int log_fd, const cpu_set_t* cpus, const char* program, char** argv,
                            char** envp) {
  // The kernel kills the child when the parent exits for any reason.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  if (cpus) sched_setaffinity(0, sizeof *cpus, cpus);
  if (log_fd >= 0) {
    dup2(log_fd, 1);
    dup2(log_fd, 2);
  }
  execve(program, argv, envp);
  _exit(127);
}

}  // namespace

void Process::start() {
  // Allocates everything before the fork, because allocation is unsafe between fork and exec.
  std::vector<std::string> arguments{options_.program};
  arguments.insert(arguments.end(), options_.args.begin(), options_.args.end());
  auto environment = environment_with(options_.variables);
  auto argv = null_terminated(arguments);
  auto envp = null_terminated(environment);
  transport::Fd log(open(options_.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
  cpu_set_t cpus;
  CPU_ZERO(&cpus);
  if (options_.cpu >= 0) CPU_SET(static_cast<std::size_t>(options_.cpu), &cpus);
  pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0)
    run_child(parent, log ? log.get() : -1, options_.cpu >= 0 ? &cpus : nullptr, options_.program.c_str(),
              argv.data(), envp.data());
}

void Process::signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

void Process::record_exit(int status, const rusage& usage) {
  pid_ = -1;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  auto ms = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
  };
  cpu_ms_ += ms(usage.ru_utime) + ms(usage.ru_stime);
  peak_kb_ = std::max(peak_kb_, usage.ru_maxrss);
}

bool Process::take_exit() {
  int status = 0;
  rusage usage{};
  if (pid_ <= 0 || wait4(pid_, &status, WNOHANG, &usage) != pid_) return false;
  record_exit(status, usage);
  return true;
}

void Process::wait() {
  int status = 0;
  rusage usage{};
  while (pid_ > 0) {
    if (wait4(pid_, &status, 0, &usage) == pid_)
      record_exit(status, usage);
    else if (errno != EINTR)
      pid_ = -1;
  }
}

namespace {
constexpr int ready_poll_timeout_ms = 50;
}

bool is_ready(const transport::Address& at) {
  transport::Fd fd(socket(at.family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd || (connect(fd.get(), at.raw(), at.size()) != 0 && errno != EINPROGRESS)) return false;
  auto wait = [&](short events) {
    pollfd p{.fd = fd.get(), .events = events, .revents = 0};
    return poll(&p, 1, ready_poll_timeout_ms) == 1 && (p.revents & events) != 0;
  };
  constexpr std::string_view request = "GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n";
  if (!wait(POLLOUT) ||
      send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
    return false;
  std::array<char, 64> bytes{};
  if (!wait(POLLIN)) return false;
  auto n = recv(fd.get(), bytes.data(), bytes.size(), 0);
  return n > 12 && std::string_view(bytes.data(), static_cast<std::size_t>(n)).starts_with("HTTP/1.1 200");
}

bool wait_until_ready(const transport::Address& at, double timeout_ms, Process& process) {
  auto until = std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(timeout_ms);
  while (std::chrono::steady_clock::now() < until && !process.take_exit() && process.running()) {
    if (is_ready(at)) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

}  // namespace meadowgauge::testbed
