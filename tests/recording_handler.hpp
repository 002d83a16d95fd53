/// A request handler for tests of the client server without a gatekeeper.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "gatekeeper/request_handler.hpp"

namespace wingslip::test {

/// Records the responders of all requests and does not respond by itself. A connection that is closed with an
/// unanswered request fails the test.
struct RecordingHandler : RequestHandler {
  bool ready() const override { return true; }
  decision::RequestId nextRequestId() override { return ++lastRequestId; }
  void onRequest(decision::RequestId, const ParsedRequest&, ClientMessage&&,
                 const std::shared_ptr<Responder>& responder) override {
    responders.push_back(responder);
  }
  void onRequestEnded(decision::RequestId, RequestEnd end) override { ends.push_back(end); }
  void onRequestRejected(unsigned) override { ++rejections; }
  void onClosedUnanswered(CloseReason reason) override {
    ADD_FAILURE() << "connection closed with an unanswered request, reason " << static_cast<int>(reason);
  }
  decision::RequestId lastRequestId = 0;
  int rejections = 0;            ///< requests that the server rejected without a call of `onRequest`
  std::vector<RequestEnd> ends;  ///< why requests in flight ended without a response of the handler
  std::vector<std::shared_ptr<Responder>> responders;
};

}  // namespace wingslip::test
