/// \file
/// The log lines of a test.
#pragma once

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <sstream>
#include <string>

namespace mustardspoke::test {

/// \brief Collects the lines that are logged during its lifetime.
class LogCapture {
public:
  LogCapture() {
    auto Backend =
        boost::make_shared<boost::log::sinks::text_ostream_backend>();
    Backend->add_stream(m_Out);
    m_Sink = boost::make_shared<Sink>(Backend);
    boost::log::core::get()->add_sink(m_Sink);
  }
  ~LogCapture() { boost::log::core::get()->remove_sink(m_Sink); }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  [[nodiscard]] std::string text() const {
    m_Sink->flush();
    return m_Out->str();
  }
  [[nodiscard]] bool contains(const std::string &Part) const {
    return text().find(Part) != std::string::npos;
  }

private:
  using Sink = boost::log::sinks::synchronous_sink<
      boost::log::sinks::text_ostream_backend>;

  boost::shared_ptr<std::ostringstream> m_Out =
      boost::make_shared<std::ostringstream>();
  boost::shared_ptr<Sink> m_Sink;
};

} // namespace mustardspoke::test
