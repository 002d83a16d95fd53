#include "overload/wait_queues.hpp"

#include <algorithm>
#include <cstdio>

namespace wingslip {

void WaitQueues::Waiting::enter(WaitQueues& places, WaitAt place, Time now) {
  leave();
  places_ = &places;
  place_ = place;
  since_ = now;
  Record& record = places.of(place);
  record.queue.push_back(*this);
  record.most = std::max(record.most, ++record.count);
  record.entered = true;
}

void WaitQueues::Waiting::leave() {
  if (!places_) return;
  unlink();
  --places_->of(place_).count;
  places_ = nullptr;
}

void WaitQueues::read(WaitAt place, std::function<Figures(Time)> reader) {
  of(place).reader = std::move(reader);
}

WaitQueues::Figures WaitQueues::figures(WaitAt place, Time now) const {
  const Record& record = of(place);
  Figures out;
  if (record.reader) out = record.reader(now);
  out.waiting += record.count;
  out.most = std::max(out.most, record.most);
  out.turnedAway += record.turnedAway;
  if (!record.queue.empty()) out.oldest = std::max(out.oldest, now - record.queue.front().since());
  return out;
}

std::string WaitQueues::telemetry(Time now) const {
  std::string out;
  for (std::size_t i = 0; i < kPlaces; ++i) {
    const Figures figures = this->figures(static_cast<WaitAt>(i), now);
    char lines[320];
    const int n =
        std::snprintf(lines, sizeof lines,
                      "svc.wait.%s.now:%zu|g\nsvc.wait.%s.most:%zu|g\nsvc.wait.%s.oldest_ms:%.0f|g\n"
                      "svc.wait.%s.turned_away:%llu|c\n",
                      kPlaceNames[i].data(), figures.waiting, kPlaceNames[i].data(), figures.most,
                      kPlaceNames[i].data(), std::max(0.0, figures.oldest), kPlaceNames[i].data(),
                      static_cast<unsigned long long>(figures.turnedAway));
    out.append(lines, static_cast<std::size_t>(std::clamp<int>(n, 0, sizeof lines - 1)));
  }
  return out;
}

std::string WaitQueues::logLine(Time now) const {
  std::string out;
  for (std::size_t i = 0; i < kPlaces; ++i) {
    const Figures figures = this->figures(static_cast<WaitAt>(i), now);
    if (figures.waiting == 0 && figures.turnedAway == 0) continue;
    char part[96];
    const int n =
        std::snprintf(part, sizeof part, "%swait.%s=%zu/%zu/%.0f/%llu", out.empty() ? "" : " ",
                      kPlaceNames[i].data(), figures.waiting, figures.most, std::max(0.0, figures.oldest),
                      static_cast<unsigned long long>(figures.turnedAway));
    out.append(part, static_cast<std::size_t>(std::clamp<int>(n, 0, sizeof part - 1)));
  }
  return out;
}

}  // namespace wingslip
