#include "balancer.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "http.hpp"
#include "net.hpp"

namespace review {
namespace {

constexpr double stop_timeout_ms = 5000;

std::string make_folder() {
  std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (!mkdtemp(pattern.data())) throw std::runtime_error("cannot make a temporary folder");
  return pattern;
}

}  // namespace

Balancer::Balancer(const std::string& command, const BalancerSetup& setup, Record& record)
    : record_(record), folder_(make_folder()), listen_(free_address("127.0.0.1")) {
  write_configuration(setup);
  start(command, setup);
}

Balancer::~Balancer() {
  stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Balancer::write_configuration(const BalancerSetup& setup) const {
  std::ofstream file(folder_ + "/config.json");
  file << "{\"name\":\"" << setup.name << "\",\"listen\":\"" << listen_ << "\",\"discovery\":\""
       << setup.discovery << "\",\"seed\":\"8c1f30d27a5be964\","
       << "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" << setup.known
       << ",\"settings\":" << setup.settings << "}\n";
}

// The log of the process goes to a file in the temporary folder; REVIEW_LOG names another file, and then the
// log has level debug.
void Balancer::start(const std::string& command, const BalancerSetup& setup) {
  const char* log = std::getenv("REVIEW_LOG");
  std::string log_path = log ? log : folder_ + "/log.txt";
  std::string shell_command = log ? command + " --log-level debug" : command;
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot start the balancer");
  if (pid_ > 0)
    return record_.line("balancer %s started, listens on %s", setup.name.c_str(), listen_.c_str());
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setenv("GW_NAME", setup.name.c_str(), 1);
  setenv("GW_LISTEN", listen_.c_str(), 1);
  setenv("GW_DISCOVERY", setup.discovery.c_str(), 1);
  setenv("GW_CONFIG", (folder_ + "/config.json").c_str(), 1);
  setenv("TMPDIR", folder_.c_str(), 1);
  unsetenv("GW_MGMT");
  int file = open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execl("/bin/sh", "sh", "-c", shell_command.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

bool Balancer::wait_ready(double timeout_ms) {
  double until_ms = now_ms() + timeout_ms;
  while (now_ms() < until_ms && running()) {
    Socket socket = connect_to(listen_, now_ms() + 500);
    Message answer;
    bool answered =
        socket.open() &&
        socket.send_all("GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n",
                        now_ms() + 500) == Io::done &&
        MessageReader(socket).read(answer, now_ms() + 500) == Io::done;
    if (answered && answer.status() == 200) return true;
    sleep_ms(50);
  }
  return false;
}

void Balancer::signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

bool Balancer::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0) return true;
  record_.line("balancer ended by itself, status %d", status);
  pid_ = -1;
  return false;
}

// SIGTERM first, then SIGKILL.
void Balancer::stop() {
  if (pid_ <= 0) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGTERM);
  for (double until_ms = now_ms() + stop_timeout_ms; now_ms() < until_ms;) {
    if (waitpid(pid_, nullptr, WNOHANG) != 0) {
      pid_ = -1;
      return;
    }
    sleep_ms(20);
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

}  // namespace review
