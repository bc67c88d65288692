#include "program/signals.hpp"

#include <sys/signalfd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace meadowgauge::program {

namespace {

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

// Without this, a SIGHUP that arrives while the first configuration is read would end the process.
void Signals::block() {
  const auto set = handled_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

bool Signals::termination_pending() {
  sigset_t pending;
  if (sigpending(&pending) != 0) return false;
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

Signals::Signals(transport::Loop& loop, std::function<void()> on_terminate, std::function<void()> on_reload)
    : loop_(loop), on_terminate_(std::move(on_terminate)), on_reload_(std::move(on_reload)) {
  block();
  std::signal(SIGPIPE, SIG_IGN);  // also for standard error, whose reader may exit
  const auto set = handled_signals();
  fd_ = transport::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
  token_ = loop.add(fd_.get(), *this, EPOLLIN);
}

Signals::~Signals() { loop_.remove(token_, fd_.get()); }

void Signals::ready(std::uint32_t /*events*/) {
  signalfd_siginfo info{};
  while (read(fd_.get(), &info, sizeof info) == sizeof info) {
    if (info.ssi_signo == SIGHUP)
      on_reload_();
    else
      on_terminate_();
  }
}

}  // namespace meadowgauge::program
