# Mutants of storages that have failed, found on real files.
tier_mutant(a_recovery_leaves_the_storage_failed storage/lmdb_storage.cpp
  [=[  OpenOrSetAside();
  if (!failed()) WriteProbe();]=] [=[  if (!failed()) WriteProbe();]=]
  TEST storage/recovery_test RUN a_file_that_may_not_grow_is_full_and_has_everything_again
  LIBRARIES shelflink_tier_storage)
tier_mutant(an_unfinished_file_is_taken_for_a_damaged_one storage/lmdb_file.cpp
  [=[  const std::string unfinished = path + ".new";]=] [=[  const std::string unfinished = path;]=]
  TEST storage/recovery_test RUN what_cannot_be_made_for_want_of_room_is_made_later
  LIBRARIES shelflink_tier_storage)
tier_mutant(a_full_disk_is_taken_for_a_damaged_one storage/lmdb_file.cpp
  [=[    case MDB_MAP_FULL:
      return Failure::kFull;]=] [=[    case MDB_MAP_FULL:
      return Failure::kDamaged;]=]
  TEST storage/recovery_test RUN a_map_without_room_stays_full_and_whole
  LIBRARIES shelflink_tier_storage)
tier_mutant(any_short_file_is_taken_for_a_damaged_one storage/lmdb_storage.cpp
  [=[  return CheckPagesInUse(path, stat.ms_psize, info.me_last_txnid);]=] [=[  return MDB_CORRUPTED;]=]
  TEST storage/recovery_test RUN a_value_that_came_and_went_before_a_sync_is_no_damage
  LIBRARIES shelflink_tier_storage)
