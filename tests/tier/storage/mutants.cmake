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
tier_mutant(a_full_map_stays_full storage/lmdb_storage.cpp
  [=[  if (HasRoomFor(batch, usage())) {]=] [=[  if (true) {]=]
  TEST storage/recovery_test RUN a_full_map_takes_removals_and_has_room_again
  LIBRARIES shelflink_tier_storage)
tier_mutant(pieces_of_a_replaced_value_stay storage/lmdb_records.cpp
  [=[  if (const int code = RemovePieces(to, key); code != 0) return code;
  return value.size()]=] [=[  return value.size()]=]
  TEST storage/storage_test RUN a_removed_long_value_leaves_nothing,values_of_any_length_replace_each_other_and_last
  LIBRARIES shelflink_tier_storage)
tier_mutant(long_values_stand_in_one_record storage/lmdb_records.cpp
  [=[  return value.size() <= kLongestShort ? PutShort(to, key, value) : PutLong(to, key, value);]=]
  [=[  return PutShort(to, key, value);]=]
  TEST storage/storage_test RUN a_long_value_needs_no_free_pages_that_follow_each_other
  LIBRARIES shelflink_tier_storage)
