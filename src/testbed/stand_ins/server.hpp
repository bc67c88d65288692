// Stand-in for a server: runs the server model on sockets and records the requests that it receives. A server
// listens on one address per balancer, so that the listener identifies the balancer of a request.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "testbed/history.hpp"
#include "testbed/model/server_model.hpp"
#include "testbed/stand_ins/http_server.hpp"

namespace meadowgauge::testbed {

// A server has no server model while it is stopped. Each start() begins a new incarnation with a new model.
class Server final : HttpServer::Handler, TestbedContext::Component {
 public:
  struct Config {
    int tier = 0, server = 0;
    std::uint64_t seed = 1;
    double idle_ms = 30000, speed = 1;
    std::vector<std::string> load_report_columns;
  };
  // What a server needs from the other stand-ins. Outlives the server.
  class Environment {
   public:
    // Returns null if no request class has that name.
    virtual const RequestClassSpec* request_class(std::string_view name) = 0;
    // Returns the cache of the class's deduplication scope that the server belongs to; may be null.
    virtual std::shared_ptr<DeduplicationCache> deduplication_cache(const RequestClassSpec& request_class,
                                                                    int tier, int server) = 0;
    // Sends call number `number` (from 0) of a job to the next tier; on_call_finished() gets the outcome.
    // Returns false if no call was sent.
    virtual bool call(Server& from, JobId job, const RequestClassSpec& request_class,
                      std::string_view parent_id, int number, double deadline_ms) = 0;
    // The server model has crashed; the server stops.
    virtual void on_server_crashed(int tier, int server) = 0;

   protected:
    ~Environment() = default;
  };

  // Appends to `records`, which outlives the server.
  Server(TestbedContext& context, Environment& environment, Config config, ServerModelSpec spec,
         std::vector<ServerRecord>& records);

  // Listens on these addresses, one for each balancer. `slow_start`: whether the server starts slowly. Throws
  // std::system_error if it cannot listen.
  void start(const std::vector<transport::Address>& listen_at, bool slow_start);
  // Resets all connections and refuses new ones.
  void stop();
  [[nodiscard]] transport::Address address(int listener) const { return http_.address(listener); }
  [[nodiscard]] int tier() const { return config_.tier; }
  [[nodiscard]] double started_at_ms() const { return started_at_ms_; }
  // Null while the server is stopped. Call on_model_changed() after every change of the model.
  [[nodiscard]] ServerModel* model() { return model_.get(); }
  void on_model_changed() { arm(); }
  // The outcome of a downstream call of that job.
  void on_call_finished(JobId job, Outcome outcome);

  void on_timer(std::uint64_t number) override;

 private:
  // A request that the model has admitted.
  struct Request {
    ConnectionId connection = 0;
    std::size_t record = 0;  // index in records_
    const RequestClassSpec* request_class = nullptr;
    std::string id;
    double deadline_ms = 0;
    int calls_left = 0, calls_made = 0;
    bool disconnected = false, black_holed = false;
  };
  // A connection's request, from the first byte until its response.
  struct Reception {
    double first_byte_ms = 0;
    int listener = 0;
    JobId job = 0;  // 0: not complete yet
  };
  void on_first_byte(ConnectionId connection, int listener) override;
  void on_request(ConnectionId connection, int listener, const protocol::Message& message,
                  bool first) override;
  void on_disconnect(ConnectionId connection) override;
  void answer_probe(ConnectionId connection, bool with_body);
  Request& record_request(ConnectionId connection, int listener, const protocol::Message& message,
                          const RequestClassSpec& request_class);
  // Returns the work of a request in ms at full speed. `first`: whether to add the work of a new connection.
  [[nodiscard]] double work_ms_of(const Request& request, bool first) const;
  // Records and answers a request according to its admission.
  void on_admission(Request& request, ServerModel::Admission admission);
  // Records that the request has started to execute.
  void mark_executed(const Request& request);
  // Records a request whose connection ended before the request was complete.
  void record_incomplete(const Reception& reception);
  void answer(Request& request, int status, bool not_executed = false);
  void on_work_done(JobId job);
  void crash();
  // Sets the timer to the model's next event.
  void arm();
  // Returns the header line of the load report with its line end; empty without report columns.
  [[nodiscard]] std::string load_report() const;

  Environment& environment_;
  Config config_;
  ServerModelSpec spec_;
  std::vector<ServerRecord>& records_;
  HttpServer http_;
  std::unique_ptr<ServerModel> model_;
  double started_at_ms_ = 0, timer_ = transport::DueTimes::none;
  int incarnation_ = 0;
  std::unordered_map<ConnectionId, Reception> receptions_;
  std::unordered_map<JobId, Request> requests_;
  JobId next_job_ = 1;
};

}  // namespace meadowgauge::testbed
