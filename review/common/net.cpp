/// Implementation of the sockets, the HTTP messages and the record.
#include "net.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {
namespace {

using SteadyClock = std::chrono::steady_clock;

const SteadyClock::time_point kProcessStart = SteadyClock::now();

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string lowerCase(std::string text) {
  for (char& character : text)
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  return text;
}

std::string wordOf(const std::string& line, int index) {
  std::size_t begin = 0;
  for (; index > 0; --index) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos) return "";
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

double nowMs() {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - kProcessStart).count();
}

void sleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void sleepUntil(double atMs) { sleepMs(atMs - nowMs()); }

Record::Record(const std::string& path) : path_(path) { std::ofstream(path_, std::ios::trunc); }

void Record::add(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%10.1f ms  ", nowMs());
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ofstream(path_, std::ios::app) << time << line << "\n";
  std::printf("%s%s\n", time, line.c_str());
  std::fflush(stdout);
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    number_ = other.release();
  }
  return *this;
}

int Socket::release() { return std::exchange(number_, -1); }

void Socket::close() {
  if (number_ >= 0) ::close(release());
}

void Socket::reset() {
  const linger immediately{1, 0};
  if (number_ >= 0) setsockopt(number_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  close();
}

Socket listenOnLoopback(int backlog) {
  Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(0);
  if (::bind(listener.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener.number(), backlog) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  return listener;
}

std::uint16_t portOf(const Socket& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(socket.number(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("cannot tell a socket's port");
  return ntohs(address.sin_port);
}

std::uint16_t freePort() { return portOf(listenOnLoopback(1)); }

std::string loopbackAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

Socket connectToLoopback(std::uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(port);
  if (::connect(socket.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
  const int on = 1;
  setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

Socket acceptFrom(const Socket& listener) {
  Socket socket(::accept4(listener.number(), nullptr, nullptr, SOCK_CLOEXEC));
  const int on = 1;
  if (socket.isOpen()) setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

bool sendAll(const Socket& socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket.number(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

int unacknowledgedBytes(const Socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.number(), SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

std::string HttpMessage::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string HttpMessage::method() const { return wordOf(startLine, 0); }
std::string HttpMessage::target() const { return wordOf(startLine, 1); }
int HttpMessage::status() const { return std::atoi(wordOf(startLine, 1).c_str()); }

bool HttpReader::fill(double untilMs) {
  for (;;) {
    const double remainingMs = untilMs - nowMs();
    if (remainingMs <= 0 || ended_) return false;
    pollfd descriptor{socket_.number(), POLLIN, 0};
    const int ready = ::poll(&descriptor, 1, std::max(1, static_cast<int>(remainingMs)));
    if (ready < 0 && errno == EINTR) continue;
    if (ready == 0) continue;
    char bytes[65536];
    const ssize_t count = ::recv(socket_.number(), bytes, sizeof bytes, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
}

std::optional<std::string> HttpReader::takeLine(double untilMs) {
  std::size_t end;
  while ((end = buffer_.find('\n')) == std::string::npos)
    if (!fill(untilMs)) return std::nullopt;
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return line;
}

bool HttpReader::takeBytes(std::size_t count, std::string& to, double untilMs) {
  while (buffer_.size() < count)
    if (!fill(untilMs)) return false;
  to.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

std::optional<HttpMessage> HttpReader::read(double untilMs) {
  HttpMessage message;
  auto line = takeLine(untilMs);
  while (line && line->empty()) line = takeLine(untilMs);
  if (!line) return std::nullopt;
  message.startLine = *line;
  for (;;) {
    line = takeLine(untilMs);
    if (!line) return std::nullopt;
    if (line->empty()) break;
    const auto colon = line->find(':');
    if (colon == std::string::npos) continue;
    std::string value = line->substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    message.headers[lowerCase(line->substr(0, colon))] = value;
  }
  if (lowerCase(message.header("transfer-encoding")) == "chunked") {
    for (;;) {
      line = takeLine(untilMs);
      if (!line) return std::nullopt;
      const std::size_t size = std::stoul(*line, nullptr, 16);
      if (size > 0 && !takeBytes(size, message.body, untilMs)) return std::nullopt;
      if (!takeLine(untilMs)) return std::nullopt;
      if (size == 0) return message;
    }
  }
  const std::string length = message.header("content-length");
  if (!length.empty() && !takeBytes(std::stoul(length), message.body, untilMs)) return std::nullopt;
  return message;
}

std::string responseText(int status, const std::string& reason, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
