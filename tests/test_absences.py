"""Times in which a process did not run."""

from lagoonflow.absences import LONGEST_GAP_MS, Absences


def note_until(absences, from_ms, until_ms):
    for at_ms in range(from_ms, until_ms + 1, 50):
        absences.note_running(at_ms)


def test_a_process_that_runs_is_never_absent():
    absences = Absences()
    note_until(absences, 1000, 9000)
    absences.note_running(9000 + LONGEST_GAP_MS)
    assert absences.between_ms(0, 10_000) == 0


def test_only_the_part_of_an_absence_between_two_times_counts():
    absences = Absences()
    note_until(absences, 0, 1000)
    note_until(absences, 4000, 5000)
    note_until(absences, 5500, 6000)
    assert absences.between_ms(0, 9000) == 3500
    assert absences.between_ms(2000, 3000) == 1000
    assert absences.between_ms(3900, 5200) == 300
    assert absences.between_ms(1, 1000) == 0
    assert absences.ended_at_ms == 5500
