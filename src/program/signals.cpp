#include "program/signals.hpp"

#include <sys/signalfd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace meadow::program {

Signals::Signals(transport::Loop& loop, std::function<void()> ended, std::function<void()> reread)
    : loop_(loop), ended_(std::move(ended)), reread_(std::move(reread)) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // also for standard error, whose reader may go
  fd_ = transport::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
  token_ = loop.add(fd_.get(), *this, EPOLLIN);
}

Signals::~Signals() { loop_.remove(token_, fd_.get()); }

void Signals::ready(std::uint32_t) {
  signalfd_siginfo info;
  while (read(fd_.get(), &info, sizeof info) == sizeof info) info.ssi_signo == SIGHUP ? reread_() : ended_();
}

}  // namespace meadow::program
