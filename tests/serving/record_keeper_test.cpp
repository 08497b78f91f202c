#include "runtime/paused_clock.hpp"
#include "serving/records/record_keeper.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <limits>

using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t born = 7;

class keeper_fixture
{
public:
    /// Sends one record, valid but for what \a change does to it.
    void send_record(const std::function<void(peer::StreamOrigin&)>& change)
    {
        peer::Frame frame;
        peer::StreamOrigin& origin =
            *frame.mutable_stream_origins()->add_origins();
        origin.set_key_low(1);
        origin.set_service("chat");
        origin.set_version("v1");
        origin.set_expires_in_ns(std::chrono::nanoseconds(20s).count());
        change(origin);
        keeper.handle(frame);
    }

    peer::StreamAnswer ask()
    {
        peer::Frame frame;
        frame.mutable_stream_question()->set_number(3);
        frame.mutable_stream_question()->set_key_low(1);
        return keeper.handle(frame)->stream_answer();
    }

    /// Reports one version, valid but for what \a change does to it.
    void report(const std::function<void(peer::VersionObservation&)>& change)
    {
        peer::Frame frame;
        peer::VersionObservation& seen = *frame.mutable_version_observation();
        seen.set_since_ago_ns(std::chrono::nanoseconds(30s).count());
        seen.add_seen()->set_service("chat");
        seen.mutable_seen(0)->set_version("v1");
        change(seen);
        CHECK(keeper.handle(frame)->kept().born() == born);
    }

    peer::VersionObservation ask_versions()
    {
        peer::Frame frame;
        frame.mutable_version_question();
        return keeper.handle(frame)->version_observation();
    }

    runtime::paused_clock time;
    serving::record_keeper keeper{time, born};
};

} // namespace

// Guards against a stream that goes on at a version which no entry has
// recorded.
TEST_CASE_FIXTURE(keeper_fixture, "a record keeper answers with what it got")
{
    CHECK(ask().source() == peer::StreamAnswer::NONE);
    send_record([](peer::StreamOrigin&) {});
    CHECK(ask().number() == 3);
    CHECK(ask().origin().version() == "v1");
    time.advance(21s);
    CHECK(ask().source() == peer::StreamAnswer::NONE);
    keeper.expire();
    CHECK(keeper.size() == 0);
}

// Guards against memory and records that a faulty process could fill.
TEST_CASE_FIXTURE(keeper_fixture, "a record keeper drops unsound records")
{
    send_record([](peer::StreamOrigin& origin) { origin.clear_version(); });
    send_record([](peer::StreamOrigin& origin)
                { origin.set_service(std::string(300, 'x')); });
    send_record([](peer::StreamOrigin& origin)
                { origin.set_expires_in_ns(-1); });
    CHECK(ask().source() == peer::StreamAnswer::NONE);
    send_record(
        [](peer::StreamOrigin& origin) {
            origin.set_expires_in_ns(std::numeric_limits<std::int64_t>::max());
        });
    time.advance(11min);
    CHECK(ask().source() == peer::StreamAnswer::NONE);
    CHECK_FALSE(keeper.handle(peer::Frame()));
}

// Guards against a rule of the only version that rests on an absurd report.
TEST_CASE_FIXTURE(keeper_fixture, "a record keeper drops unsound observations")
{
    report([](peer::VersionObservation& seen)
           { seen.set_until_ago_ns(seen.since_ago_ns() + 1); });
    report([](peer::VersionObservation& seen) { seen.set_until_ago_ns(-1); });
    report([](peer::VersionObservation& seen)
           { seen.mutable_seen(0)->clear_service(); });
    report(
        [](peer::VersionObservation& seen)
        {
            for (int number = 0; number < 1000; ++number)
                seen.add_seen()->set_service(std::to_string(number));
        });
    CHECK(ask_versions().seen_size() == 0);
    CHECK(ask_versions().since_ago_ns() == 0);
    report([](peer::VersionObservation&) {});
    time.advance(2s);
    CHECK(ask_versions().seen(0).version() == "v1");
    CHECK(ask_versions().until_ago_ns() ==
          std::chrono::nanoseconds(2s).count());
    CHECK(ask_versions().since_ago_ns() ==
          std::chrono::nanoseconds(32s).count());
}

// Guards against an entry that can't read the changes after what record keepers
// were told.
TEST_CASE_FIXTURE(keeper_fixture, "a record keeper tells the list's revision")
{
    report([](peer::VersionObservation&) {});
    CHECK(ask_versions().revision() == 0);
    report([](peer::VersionObservation& seen) { seen.set_revision(9); });
    CHECK(ask_versions().revision() == 9);
}

// Guards against records that end with a keeper that is told to stop, or that
// it confirms although it is about to end.
TEST_CASE_FIXTURE(keeper_fixture, "a record keeper that stops hands on")
{
    const auto set_key = [](std::uint64_t key)
    {
        return [key](peer::StreamOrigin& origin)
        {
            origin.set_key_low(key);
            origin.set_is_ambiguous(key == 1);
        };
    };
    for (std::uint64_t key = 1; key <= 30; ++key)
        send_record(set_key(key));
    peer::Frame question;
    question.mutable_records_question()->set_after(25);
    question.mutable_records_question()->add_successors(std::string("k"));
    const auto reply = keeper.handle(question);
    CHECK(reply->stream_origins().origins_size() == 5);
    CHECK(reply->stream_origins().next() == 30);
    CHECK(reply->stream_origins().born() == born);
    keeper.stop();
    serving::record_keeper successor(time, 8);
    for (const auto& [to, frame] : keeper.take_handover_frames())
    {
        CHECK_FALSE(keeper.is_handed_on());
        CHECK(to == "k");
        CHECK_FALSE(keeper.handle(frame)); // It keeps nothing any more.
        keeper.handle_kept("k", successor.handle(frame)->kept());
    }
    CHECK(keeper.is_handed_on());
    CHECK(successor.size() == 30);
    peer::Frame asked;
    asked.mutable_stream_question()->set_key_low(1);
    CHECK(successor.handle(asked)->stream_answer().origin().is_ambiguous());
    time.advance(21s);
    successor.expire();
    CHECK(successor.size() == 0);
}
