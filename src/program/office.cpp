#include "program/office.hpp"

#include "handover/lessons.hpp"

namespace meadow::program {

using routing::Level;

namespace {
constexpr std::string_view lessons = "lessons";
constexpr double tell_every_ms = 1000, lessons_most_ms = 5000;
// The process before sees a new seat within a tick and gives way; and its yes to an out binds here within
// one.
constexpr double give_way_ms = 250, both_know_ms = 250;
// Discovery may be out of reach: the list that the configuration holds is served from then.
constexpr double hear_ms = 1500;
}  // namespace

Shift::Shift(const std::string& folder, const std::string& name)
    : place(folder, name), seats(place), others(seats.look()), began(transport::Clock().now()) {}

Office::Office(transport::Loop& loop, routing::Balancer& balancer, Shift& shift, const transport::Address& at,
               routing::Say say)
    : balancer_(balancer),
      shift_(shift),
      say_(std::move(say)),
      outs_(shift.place, say_),
      door_(loop, at, *this) {
  balancer_.take_out(outs_.names());
  if (shift_.relieves()) {
    balancer_.keep_to(1.0 / (1 + shift_.others.all()));
    balancer_.taught(handover::read_lessons(shift_.place.read(lessons), clock_.now(), lessons_most_ms));
    say_(Level::info, "another process of this balancer serves: takes over from it");
  } else {
    shift_.seats.serves();
  }
}

bool Office::take(const std::string& id, bool out, double& wait) {
  if (!balancer_.lists(id) && !outs_.names().contains(id)) return false;
  if (!outs_.change(id, out)) return false;
  balancer_.take_out(outs_.names());
  if (out && shift_.others.all() > 0) wait = both_know_ms;
  return true;
}

void Office::ended() {
  ending_ = true;
  share();
  balancer_.wind_up();
}

void Office::tick() {
  door_.tick();
  if (!shift_.place.there()) return;
  if (outs_.refresh()) balancer_.take_out(outs_.names());
  share();
  double now = clock_.now();
  if (!balancer_.ready() && !ending_ && now - shift_.began >= give_way_ms &&
      (balancer_.heard() || now - shift_.began >= hear_ms)) {
    balancer_.listen(static_cast<std::uint32_t>(shift_.others.older));
    shift_.seats.serves();
    say_(Level::info, "serves beside the process before it");
  }
  if (now < tell_at_ || !balancer_.ready() || shift_.others.newer > 0) return;
  tell_at_ = now + tell_every_ms;
  if (auto all = balancer_.learned(); !all.empty())
    static_cast<void>(shift_.place.write(lessons, handover::lessons_text(all, now)));
}

void Office::share() {
  auto before = shift_.others;
  shift_.others = shift_.seats.look();
  if (shift_.others.all() != before.all()) balancer_.keep_to(1.0 / (1 + shift_.others.all()));
  if (ending_ && shift_.others.newer_serves) balancer_.give_over();
}

}  // namespace meadow::program
