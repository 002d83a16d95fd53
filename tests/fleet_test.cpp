// What only shows where gateways are many and each has few requests.
#include <set>

#include "recorder.hpp"

namespace irisring::test {
namespace {

Settings manyGateways() {
  Settings s = settings();
  s.gateways = 100;
  s.plans[0].rate = 1.4, s.plans[0].burst = 16;
  return s;
}

std::vector<Member> workers(WorkerId count) {
  std::vector<Member> out;
  for (WorkerId w = 1; w <= count; ++w) out.push_back(member(w));
  return out;
}

// Burst over the gateways is less than one request here. The store of a customer that nobody has seen is
// full, so its first request of the usual size is let in at every gateway; larger ones wait until the bucket
// has filled.
TEST(Fleet, ABucketStartsWithOneUsualRequestAtLeast) {
  Bench b(manyGateways());
  b.list(workers(60));
  unsigned in = 0;
  for (CustomerId c = 1; c <= 40; ++c) {
    b.now += 10;
    const RequestId id = b.ask(0, 0, c, 2, 80);
    if (!b.wasSent(id)) continue;
    ++in;
    b.end(id, Result::ok, 50);
  }
  EXPECT_EQ(in, 40u);
  EXPECT_TRUE(b.wasRefused(b.ask(0, 0, 100, 8, 80)));
  EXPECT_TRUE(b.wasRefused(b.ask(0, 0, 1, 2, 80)));  // it was one request, not one each time
}

// A worker that has just started answers several times slower than a warm one, whatever it is sent. That says
// nothing of how much the warm ones bear.
TEST(Fleet, LateAnswersOfAColdWorkerLeaveTheGatewaysLimit) {
  Settings s = settings();
  s.gateways = 1;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s, 100000);
  b.list({member(1), member(2, 0, b.now)});
  b.gateway.knowWarmRate(b.now, 0.1);
  const RequestId held[] = {b.ask(2, 0, 900), b.ask(2, 0, 901)};  // the warm one is busy for a while
  unsigned late = 0;
  for (int i = 0; i < 100; ++i) {
    b.now += 50;
    const RequestId id = b.ask(2, 0, b.last);
    if (!b.wasSent(id)) continue;
    const bool cold = b.lastWorker() == 2;
    late += cold;
    b.end(id, Result::ok, cold ? 900 : 100);
  }
  ASSERT_GE(late, 20u);
  for (const RequestId id : held) b.end(id, Result::ok, 100);
  unsigned out = 0;
  while (b.wasSent(b.ask(2, 0, b.last))) ++out;
  EXPECT_GE(out, 10u);
}

}  // namespace
}  // namespace irisring::test
