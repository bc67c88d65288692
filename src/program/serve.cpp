// The subcommand `serve`: wires the balancer to its configuration, signals, fleet and admin server.
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

// The name in each log line. Reads the configuration without a log, because the log needs the name first.
std::string log_name(const Options& options) {
  if (options.config_file.empty()) return environment_variable("GW_NAME").value_or(nameless);
  return read_configuration(options, {}).name;
}

// Caps the limit at RLIMIT_NOFILE.
void apply_descriptor_limit(proxy::Setup& setup) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return;
  setup.descriptors = std::min<std::size_t>(setup.descriptors, limit.rlim_cur);
}

// The state shared with another process of this balancer at an upgrade; null without an admin server.
std::unique_ptr<SharedState> open_shared_state(proxy::Setup& setup) {
  if (!setup.mgmt) return nullptr;
  // The address makes the name unique: other balancers may share the folder and the name.
  const auto name = setup.name + "@" + setup.listen.text();
  auto shared = std::make_unique<SharedState>(environment_variable("TMPDIR").value_or(""), name);
  setup.shared = shared->directory.exists();
  // The admin service starts the listener, so that a process without its admin address accepts no client.
  setup.later = true;
  return shared;
}

// Owns all parts of one serving process. Members are destroyed from the last to the first: the balancer
// before the objects that its callbacks refer to.
class Service {
 public:
  // Throws where an address can't be listened on. `options` outlive the service.
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

  // Returns when a graceful shutdown has ended.
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

  // An invalid configuration leaves the one in use unchanged.
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
  // A signal that arrives while the configuration is read stays pending until there is a handler.
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
