/// \file
/// Tests of the parts of Membership: update queue, facts, duty owners.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

#include "fact_table.h"
#include "membership_updates.h"

namespace rillwall {

namespace {

std::vector<Member> Members(size_t aCount) {
  std::vector<Member> members(aCount);
  for (size_t index = 0; index < aCount; ++index) {
    members[index].mId = "node-" + std::to_string(index);
  }
  return members;
}

std::string Duty(size_t aIndex) {
  return "step/letters/" + std::to_string(aIndex);
}

}  // namespace

class MembershipPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipPartsTest);
  CPPUNIT_TEST(LeastSentUpdateIsTakenFirst);
  CPPUNIT_TEST(FactsMergeInAnyOrder);
  CPPUNIT_TEST(RemovalMovesOnlyTheDutiesOfAMember);
  CPPUNIT_TEST(DutiesAreSpreadEvenly);
  CPPUNIT_TEST(OwnersAreTheSameInEveryProcess);
  CPPUNIT_TEST_SUITE_END();

  void LeastSentUpdateIsTakenFirst() {
    const UpdateKey old{UpdateKey::Kind::Fact, "old"};
    const UpdateKey fresh{UpdateKey::Kind::Fact, "fresh"};
    UpdateQueue updates;
    updates.Add(old, 40);
    CPPUNIT_ASSERT(updates.Take(40, 3) == std::vector<UpdateKey>{old});
    updates.Add(fresh, 40);
    CPPUNIT_ASSERT(updates.Take(40, 3) == std::vector<UpdateKey>{fresh});
    CPPUNIT_ASSERT(updates.Take(100, 3) ==
                   (std::vector<UpdateKey>{fresh, old}));
    CPPUNIT_ASSERT(updates.Take(39, 3).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{80}, updates.Bytes());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, updates.Take(100, 3).size());
    CPPUNIT_ASSERT(updates.IsEmpty() && updates.Bytes() == 0);
  }

  void FactsMergeInAnyOrder() {
    std::mt19937_64 random(1);
    for (int round = 0; round < 100; ++round) {
      std::vector<Fact> facts;
      for (int fact = 0; fact < 30; ++fact) {
        facts.push_back({"k" + std::to_string(random() % 5), random() % 4,
                         std::to_string(random() % 3)});
      }
      FactTable left;
      FactTable right;
      for (const Fact& fact : facts) {
        left.Merge(fact);
      }
      std::shuffle(facts.begin(), facts.end(), random);
      for (const Fact& fact : facts) {
        right.Merge(fact);
        right.Merge(facts.front());  // merging again changes nothing
      }
      CPPUNIT_ASSERT(left.WithPrefix("") == right.WithPrefix(""));
      CPPUNIT_ASSERT_EQUAL(left.Digest(), right.Digest());
    }
  }

  void RemovalMovesOnlyTheDutiesOfAMember() {
    const std::vector<Member> all = Members(90);
    std::vector<Member> rest = all;
    const std::string removed = all[17].mId;
    rest.erase(rest.begin() + 17);
    for (size_t duty = 0; duty < 2000; ++duty) {
      const auto before = DutyOwners(all, Duty(duty), 3);
      auto expected = before;
      std::erase_if(expected, [&](const Member& aMember) {
        return aMember.mId == removed;
      });
      auto after = DutyOwners(rest, Duty(duty), 3);
      after.resize(expected.size());
      CPPUNIT_ASSERT(expected == after);
    }
  }

  void DutiesAreSpreadEvenly() {
    const std::vector<Member> live = Members(9);
    std::map<std::string, int> owned;
    for (size_t duty = 0; duty < 9000; ++duty) {
      ++owned[DutyOwners(live, Duty(duty), 1)[0].mId];
    }
    for (const auto& [id, count] : owned) {
      CPPUNIT_ASSERT(count > 900 && count < 1100);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{9}, owned.size());
  }

  void OwnersAreTheSameInEveryProcess() {
    const std::vector<Member> live = Members(9);
    CPPUNIT_ASSERT_EQUAL(std::string("node-6"),
                         DutyOwners(live, "step/letters/7", 1)[0].mId);
    CPPUNIT_ASSERT_EQUAL(size_t{9}, DutyOwners(live, "x", 20).size());
    CPPUNIT_ASSERT(DutyOwners({}, "x", 3).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPartsTest);

}  // namespace rillwall
