// The subcommand `serve`: connects the balancer to its configuration, signals, fleet and admin server.
#include <sys/resource.h>

#include <algorithm>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "program/admin_service.hpp"
#include "program/commands.hpp"
#include "program/configuration.hpp"
#include "program/fleet_coordinator.hpp"
#include "program/log.hpp"
#include "program/signals.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

namespace {

using proxy::Level;

// The name in each log line. Reads the configuration without logging, because the log is created with the
// name.
std::string log_name(const Options& options) {
  if (options.config_file.empty()) return environment_variable("GW_NAME").value_or(unknown_name);
  return read_configuration(options, {}).name;
}

// Caps the configured descriptor limit at RLIMIT_NOFILE.
void apply_descriptor_limit(proxy::Setup& setup) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return;
  setup.descriptors = std::min<std::size_t>(setup.descriptors, limit.rlim_cur);
}

// Opens the state shared with other processes of this balancer at a hot restart. Null without an admin
// server.
std::unique_ptr<SharedState> open_shared_state(proxy::Setup& setup) {
  if (!setup.mgmt) return nullptr;
  // The address makes the name unique, because several balancers may share the folder and the name.
  const auto name = setup.name + "@" + setup.listen.text();
  auto shared = std::make_unique<SharedState>(environment_variable("TMPDIR").value_or(""), name);
  setup.may_share_address = shared->directory.exists();
  // The admin service starts the listener, so that a process that cannot bind its admin address accepts no
  // clients.
  setup.defer_listening = true;
  return shared;
}

// Owns all parts of one serving process. The order of the members matters: the balancer is destroyed before
// the objects that its callbacks refer to.
class Service {
 public:
  // Throws if it cannot listen on an address. `options` outlive the service.
  Service(const Options& options, proxy::Setup setup, proxy::Logger log)
      : options_(options),
        log_(std::move(log)),
        shared_(open_shared_state(setup)),
        signals_(
            loop_, [this] { begin_shutdown(); }, [this] { reload(); }),
        balancer_(loop_, setup, log_) {
    if (setup.fleet) join_fleet(setup);
    if (setup.mgmt) start_admin_service(*setup.mgmt);
  }

  // Returns when the graceful shutdown has finished.
  void run() {
    log_address(balancer_.listening() ? "listening on " : "waiting to listen on ", balancer_.address());
    balancer_.run();
    log_(Level::info, "ended");
  }

 private:
  void join_fleet(const proxy::Setup& setup) {
    fleet_.emplace(loop_, *setup.fleet, setup.seed, log_);
    balancer_.set_request_filter(&*fleet_);
    fleet_->set_balancer(balancer_);
  }

  void start_admin_service(const transport::Address& address) {
    admin_service_.emplace(loop_, balancer_, *shared_, address, log_, fleet_ ? &*fleet_ : nullptr);
    balancer_.on_tick([this] { admin_service_->tick(); });
    log_address("admin server listening on ", admin_service_->address());
  }

  void log_address(const std::string& what, const transport::Address& address) const {
    const auto& text = address.text();
    log_(Level::info, what + text, {{"address", std::string_view(text)}});
  }

  // If the new configuration is invalid, the one in use stays unchanged.
  void reload() {
    try {
      const auto setup = read_configuration(options_, log_);
      balancer_.reload(setup);
      if (fleet_)
        fleet_->reload(setup.fleet);
      else if (setup.fleet)
        log_(Level::warning, "[fleet] added: takes effect after a restart");
    } catch (const std::exception& error) {
      balancer_.reload_failed();
      const std::string_view reason = error.what();
      log_(Level::error, std::string("reload failed, configuration unchanged: ").append(reason),
           {{"reason", reason}});
    }
  }

  void begin_shutdown() {
    if (admin_service_)
      admin_service_->begin_shutdown();
    else
      balancer_.begin_shutdown();
  }

  const Options& options_;
  proxy::Logger log_;
  transport::Loop loop_;
  std::optional<FleetCoordinator> fleet_;
  std::unique_ptr<SharedState> shared_;
  std::optional<AdminService> admin_service_;
  Signals signals_;
  proxy::Balancer balancer_;
};

}  // namespace

int serve(const Options& options) {
  // A signal that arrives while the configuration is read stays pending until Signals handles it.
  Signals::block();
  const Log log(std::cerr, options.log_level, options.log_format, log_name(options));
  const auto logger = log.logger();
  auto setup = read_configuration(options, logger);
  setup.leave_ms = options.shutdown_delay_ms;
  if (Signals::termination_pending()) {
    logger(Level::info, "graceful shutdown: serving -> finished: it has not served yet");
    return 0;
  }
  apply_descriptor_limit(setup);
  Service service(options, std::move(setup), logger);
  service.run();
  return 0;
}

}  // namespace meadowgauge::program
